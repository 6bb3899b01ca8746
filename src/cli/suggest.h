#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// Suggests the intended name for a mistyped command, flag, key or object kind.
namespace chervilpulley::cli {

/// Minimum number of insertions, deletions, replacements and swaps of adjacent characters that turn one text into the
/// other.
std::size_t EditDistance(std::string_view aLeft, std::string_view aRight);

/// The known name closest to a mistyped one; empty when none is close enough.
std::string Suggest(std::string_view aTyped, const std::vector<std::string>& aKnown);

} // namespace chervilpulley::cli
