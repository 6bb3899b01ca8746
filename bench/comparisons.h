#pragma once

#include <vector>

#include "table.h"

/// Comparisons of the policies with simpler baselines. Each function simulates one policy and its baselines with the
/// same seeds and adds their results to the table.
namespace bench {

using seed_list = std::vector<unsigned>;

void CompareRoutes(table& aTable, const seed_list& aSeeds);
void CompareFairness(table& aTable, const seed_list& aSeeds);
void CompareRateShares(table& aTable, const seed_list& aSeeds);
void CompareLimits(table& aTable, const seed_list& aSeeds);
void CompareAdmission(table& aTable, const seed_list& aSeeds);
void CompareRetries(table& aTable, const seed_list& aSeeds);
void CompareSubsets(table& aTable, const seed_list& aSeeds);
void ComparePlacement(table& aTable, const seed_list& aSeeds);

} // namespace bench
