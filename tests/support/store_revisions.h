#pragma once

#include "policy/store_revision.h"

/// Short names for states of the platform's store in tests.
namespace chervilpulley::testing {

inline policy::store_revision At(std::uint64_t aNumber, std::uint64_t aEra = 1)
{
  return { policy::store_era(aEra), aNumber };
}

} // namespace chervilpulley::testing
