#include "cli/apply_change.h"

#include <thread>

namespace chervilpulley::cli {

namespace {

constexpr int kMaxAttempts = 5;

bool IsRetryable(const client_error& aError)
{
  return aError.mCode == client_errc::Unknown || aError.mCode == client_errc::Unavailable;
}

} // namespace

client_result<admin::apply_reply> ApplyChange(admin_client& aClient,
                                              const admin::apply_request& aRequest,
                                              duration aDelay)
{
  bool isUnknown = false;
  for (int attempt = 1;; ++attempt) {
    auto reply = aClient.Apply(aRequest);
    if (reply || !IsRetryable(reply.error())) {
      return reply;
    }
    isUnknown = isUnknown || reply.error().mCode == client_errc::Unknown;
    if (attempt == kMaxAttempts) {
      client_error last = reply.error();
      last.mCode = isUnknown && !aRequest.validate_only() ? client_errc::Unknown : client_errc::Unavailable;
      return last;
    }
    std::this_thread::sleep_for(aDelay);
    aDelay *= 2;
  }
}

} // namespace chervilpulley::cli
