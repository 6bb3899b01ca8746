#pragma once

/// Trailing metadata by which the server reports that a failed call had no effect. A call that failed without it may
/// have had an effect.
namespace chervilpulley::admin {

inline constexpr char kOutcomeMetadata[] = "chervilpulley-outcome";
inline constexpr char kOutcomeNotRun[] = "not_run";

} // namespace chervilpulley::admin
