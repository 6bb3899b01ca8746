#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace chervilpulley::cli {

/// Least number of inserted, deleted, replaced or swapped neighbouring characters that turns one text into the other.
std::size_t EditDistance(std::string_view aLeft, std::string_view aRight);

/// The known name nearest to a mistyped one; empty when none is near.
std::string Suggest(std::string_view aTyped, const std::vector<std::string>& aKnown);

} // namespace chervilpulley::cli
