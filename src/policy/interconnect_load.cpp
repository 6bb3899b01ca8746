#include "policy/interconnect_load.h"

#include <algorithm>

namespace chervilpulley::policy {

void interconnect_load::Add(const domain_pair& aPair, fractional_ms aTime, double aSharers, instant aNow)
{
  instant& freeAt = mFreeAt[aPair];
  freeAt = std::max(freeAt, aNow) + std::chrono::duration_cast<duration>(aTime * std::max(1.0, aSharers));
}

interconnect_waits interconnect_load::Waits(instant aNow) const
{
  interconnect_waits waits;
  for (const auto& [pair, freeAt] : mFreeAt) {
    if (freeAt > aNow) {
      waits.emplace(pair, freeAt - aNow);
    }
  }
  return waits;
}

} // namespace chervilpulley::policy
