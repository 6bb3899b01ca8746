#include "cli/apply_change.h"

#include <thread>

namespace chervilpulley::cli {

namespace {

constexpr int kMaxTries = 5;

bool MayTryAgain(const client_error& aError)
{
  return aError.mCode == client_errc::Unknown || aError.mCode == client_errc::Unavailable;
}

} // namespace

client_result<admin::apply_reply> ApplyChange(admin_client& aClient,
                                              const admin::apply_request& aRequest,
                                              duration aPause)
{
  bool isUnknown = false;
  for (int tries = 1;; ++tries) {
    auto applied = aClient.Apply(aRequest);
    if (applied || !MayTryAgain(applied.error())) {
      return applied;
    }
    isUnknown = isUnknown || applied.error().mCode == client_errc::Unknown;
    if (tries == kMaxTries) {
      client_error last = applied.error();
      last.mCode = isUnknown && !aRequest.validate_only() ? client_errc::Unknown : client_errc::Unavailable;
      return last;
    }
    std::this_thread::sleep_for(aPause);
    aPause *= 2;
  }
}

} // namespace chervilpulley::cli
