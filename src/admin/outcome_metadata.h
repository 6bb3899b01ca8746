#pragma once

/// Trailing metadata by which the server says that a failed call had no effect. Without it, a call that broke off may
/// have had one.
namespace chervilpulley::admin {

inline constexpr char kOutcomeMetadata[] = "chervilpulley-outcome";
inline constexpr char kOutcomeNotRun[] = "not_run";

} // namespace chervilpulley::admin
