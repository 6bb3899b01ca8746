#include "policy/pipe_load.h"

#include <algorithm>

namespace chervilpulley::policy {

void pipe_load::Add(const domain_pair& aPair, fine_ms aTime, double aSharers, instant aNow)
{
  instant& freeAt = mFreeAt[aPair];
  freeAt = std::max(freeAt, aNow) + std::chrono::duration_cast<duration>(aTime * std::max(1.0, aSharers));
}

pipe_waits pipe_load::Waits(instant aNow) const
{
  pipe_waits waits;
  for (const auto& [pair, freeAt] : mFreeAt) {
    if (freeAt > aNow) {
      waits.emplace(pair, freeAt - aNow);
    }
  }
  return waits;
}

} // namespace chervilpulley::policy
