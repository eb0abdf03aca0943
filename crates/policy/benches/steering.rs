//! Lookup time and memory of the block table by the number of client blocks,
//! with 1,400 data centres. The largest number is the one in docs/CAPACITY.md.

use std::fs;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};

use criterion::{BenchmarkId, Criterion};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tarragonpulley_policy::contract::ClientBlock;
use tarragonpulley_policy::ids::CentreName;
use tarragonpulley_policy::steering::BlockTable;

const CENTRES: usize = 1_400;
const SIZES: [u32; 4] = [10_000, 100_000, 1_000_000, 1_900_000];
const PREFIX_BITS: u8 = 24;
const PAGE_BYTES: u64 = 4096;
const SEED: u64 = 41;

/// Resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let pages = fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|text| text.split_whitespace().nth(1)?.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn client_blocks(count: u32) -> Vec<ClientBlock> {
    let centres: Vec<CentreName> = (0..CENTRES)
        .map(|centre| format!("site-{centre}").parse().expect("the name is valid"))
        .collect();
    let mut random = SmallRng::seed_from_u64(SEED);
    (0..count)
        .map(|index| ClientBlock {
            first: index << (32 - PREFIX_BITS),
            prefix: PREFIX_BITS,
            centre: centres[random.random_range(0..CENTRES)].clone(),
        })
        .collect()
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    for count in SIZES {
        let blocks = client_blocks(count);
        let before = resident_bytes();
        let table = BlockTable::new(&blocks);
        let bytes = resident_bytes().saturating_sub(before);
        println!("{count} blocks: {bytes} bytes resident for the table");
        let mut random = SmallRng::seed_from_u64(SEED);
        let clients: Vec<IpAddr> = (0..4096)
            .map(|_| {
                let block = random.random_range(0..count);
                IpAddr::V4(Ipv4Addr::from((block << (32 - PREFIX_BITS)) | 7))
            })
            .collect();
        let mut next = 0;
        criterion.bench_with_input(
            BenchmarkId::new("centre_of", count),
            &table,
            |bencher, table| {
                bencher.iter(|| {
                    next = (next + 1) % clients.len();
                    black_box(table.centre_of(clients[next]))
                });
            },
        );
        // The allocator would reuse the pages of a dropped table, and the growth
        // of resident memory for the next size would be too small.
        std::mem::forget(table);
        std::mem::forget(blocks);
    }
    criterion.final_summary();
}
