#pragma once

#include <string_view>

namespace chervilpulley {

/// Version of the program.
inline constexpr std::string_view kVersion = "0.1.0";

} // namespace chervilpulley
