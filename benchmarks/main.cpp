#include "shardof.h"

#include <benchmark/benchmark.h>

namespace {

void hashKey(benchmark::State &state)
{
    for (auto _ : state) {
        benchmark::DoNotOptimize(nutmeghinge::hashOfKey("customer-000001"));
    }
}
BENCHMARK(hashKey);

} // namespace

BENCHMARK_MAIN();
