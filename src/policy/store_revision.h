#pragma once

#include <compare>
#include <cstdint>

#include "chervilpulley/policy_types.h"

/// Names for states of the platform's store. Its revisions rise with each change, until it comes back from a copy: then
/// they go on from that of the copy, and numbers are given out again. Each such return begins a new era.
namespace chervilpulley::policy {

/// Number of an era; rises with each return from a copy. 0: the store names none.
using store_era = strong_number<struct store_era_tag>;

/// A state of the store, or the state in which an object was written. A later era comes after all revisions of earlier
/// ones.
struct store_revision
{
  store_era mEra;
  std::uint64_t mNumber = 0; ///< means nothing without its era

  auto operator<=>(const store_revision&) const =
    default; // NOLINT(modernize-use-nullptr): false positive of clang-tidy 14
};

} // namespace chervilpulley::policy
