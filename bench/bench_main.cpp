#include <benchmark/benchmark.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <filesystem>

#include "comparisons.h"
#include "table.h"

DEFINE_string(results, "", "folder for the results as JSON; empty: none are written");
DEFINE_uint32(seeds, 5, "seeds of each comparison");
DEFINE_bool(comparisons, true, "compare each decision with its baselines");
DEFINE_bool(costs, true, "also measure the cost of each decision");
DEFINE_string(only, "", "measure this decision only");

namespace {

void Compare(bench::table& aTable, const std::vector<unsigned>& aSeeds)
{
  const std::pair<const char*, void (*)(bench::table&, const std::vector<unsigned>&)> comparisons[] = {
    { "route", bench::CompareRoutes },        { "fairness", bench::CompareFairness },
    { "rate", bench::CompareRateShares },     { "admission", bench::CompareAdmission },
    { "retry", bench::CompareRetries },       { "subset", bench::CompareSubsets },
    { "placement", bench::ComparePlacement }, { "limit", bench::CompareLimits },
  };
  for (const auto& [name, compare] : comparisons) {
    if (FLAGS_only.empty() || FLAGS_only == name) {
      std::fprintf(stderr, "bench: comparing %s\n", name);
      compare(aTable, aSeeds);
    }
  }
}

void MeasureCosts(const char* aProgram)
{
  std::vector<std::string> arguments{ aProgram };
  if (!FLAGS_results.empty()) {
    arguments.push_back("--benchmark_out=" + FLAGS_results + "/costs.json");
    arguments.emplace_back("--benchmark_out_format=json");
  }
  std::vector<char*> pointers;
  pointers.reserve(arguments.size());
  for (std::string& argument : arguments) {
    pointers.push_back(argument.data());
  }
  int count = static_cast<int>(pointers.size());
  benchmark::Initialize(&count, pointers.data());
  benchmark::RunSpecifiedBenchmarks();
}

} // namespace

int main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::vector<unsigned> seeds;
  for (unsigned seed = 1; seed <= FLAGS_seeds; ++seed) {
    seeds.push_back(seed);
  }
  if (!FLAGS_results.empty()) {
    std::filesystem::create_directories(FLAGS_results);
  }
  if (FLAGS_comparisons) {
    bench::table table;
    Compare(table, seeds);
    table.Print();
    if (!FLAGS_results.empty()) {
      table.WriteJson(FLAGS_results + "/decisions.json", seeds);
    }
  }
  if (FLAGS_costs) {
    MeasureCosts(argv[0]);
  }
  return 0;
}
