#include "platform/platform_status.h"

#include <utility>

namespace chervilpulley::platform {

namespace {

constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirect = 300;
constexpr unsigned kNotFound = 404;
constexpr unsigned kPreconditionFailed = 412;
constexpr unsigned kContentTooLarge = 413;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kServiceUnavailable = 503;

/// @param aServerError code for server errors other than 503.
platform_errc ErrorCodeForStatus(unsigned aStatus, platform_errc aServerError)
{
  switch (aStatus) {
    case kNotFound:
      return platform_errc::NotFound;
    case kPreconditionFailed:
      return platform_errc::Conflict;
    case kContentTooLarge:
      return platform_errc::TooLarge;
    case kTooManyRequests:
      return platform_errc::RateLimited;
    case kServiceUnavailable:
      return platform_errc::Unavailable;
    default:
      return aStatus >= kFirstServerError ? aServerError : platform_errc::BadReply;
  }
}

std::string ErrorMessage(std::string_view aWhat, std::string_view aReason)
{
  std::string text(aWhat);
  text += ": ";
  text += aReason;
  return text;
}

std::optional<platform_error> StatusError(const net::http_reply& aReply,
                                          std::string_view aWhat,
                                          platform_errc aServerError)
{
  if (aReply.mStatus >= kFirstSuccess && aReply.mStatus < kFirstRedirect) {
    return std::nullopt;
  }
  const std::string reason = "platform answered with status " + std::to_string(aReply.mStatus);
  return platform_error{ ErrorCodeForStatus(aReply.mStatus, aServerError), ErrorMessage(aWhat, reason) };
}

} // namespace

std::optional<platform_error> ReadError(const net::net_result<net::http_reply>& aReply, std::string_view aWhat)
{
  if (aReply.has_value()) {
    return StatusError(aReply.value(), aWhat, platform_errc::Unavailable);
  }
  const auto& error = aReply.error();
  const bool malformed = error.mCode == net::net_errc::Malformed || error.mCode == net::net_errc::TooLarge;
  return platform_error{ malformed ? platform_errc::BadReply : platform_errc::Unavailable,
                         ErrorMessage(aWhat, error.mMessage) };
}

std::optional<platform_error> WriteError(const net::net_result<net::http_reply>& aReply, std::string_view aWhat)
{
  if (aReply.has_value()) {
    return StatusError(aReply.value(), aWhat, platform_errc::Unknown);
  }
  const auto& error = aReply.error();
  return platform_error{ error.mMaybeSent ? platform_errc::Unknown : platform_errc::Unavailable,
                         ErrorMessage(aWhat, error.mMessage) };
}

platform_error BadReply(std::string aMessage)
{
  return platform_error{ platform_errc::BadReply, std::move(aMessage) };
}

} // namespace chervilpulley::platform
