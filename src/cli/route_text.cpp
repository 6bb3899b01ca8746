#include "cli/route_text.h"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>
#include <fmt/format.h>

#include <string_view>

namespace chervilpulley::cli {

namespace {

namespace json = boost::json;

std::string Text(const json::object& aObject, std::string_view aName)
{
  return std::string(aObject.at(aName).as_string());
}

double Number(const json::object& aObject, std::string_view aName)
{
  return aObject.at(aName).to_number<double>();
}

std::string Ms(const json::object& aObject, std::string_view aName)
{
  return fmt::format("{:.1f} ms", Number(aObject, aName));
}

/// The layers of an object with "from" and "end"; empty for plain services.
std::string Layers(const json::object& aObject)
{
  const double from = Number(aObject, "from");
  const double end = Number(aObject, "end");
  return end > from ? fmt::format("layers {:.0f}-{:.0f}", from, end - 1) : "";
}

std::string OutcomeText(const json::object& aPool)
{
  const std::string outcome = Text(aPool, "outcome");
  if (outcome == "rejected") {
    std::string text = fmt::format("rejected with {:.0f}: {}", Number(aPool, "status"), Text(aPool, "reason"));
    if (aPool.contains("retry_after_ms")) {
      text += fmt::format(" (Retry-After up to {})", Ms(aPool, "retry_after_ms"));
    }
    return text;
  }
  if (outcome == "waits") {
    std::string text = fmt::format("waits behind {:.0f}: {}", Number(aPool, "ahead"), Text(aPool, "reason"));
    if (aPool.contains("wait_forecast_ms")) {
      text += fmt::format(" (forecast {})", Ms(aPool, "wait_forecast_ms"));
    }
    return text;
  }
  return outcome;
}

std::string OverloadText(const json::object& aOverload)
{
  std::string text = fmt::format("  priority level {:.0f}, rank {:.0f}; admitted fraction {:.3f}\n",
                                 Number(aOverload, "level"),
                                 Number(aOverload, "rank"),
                                 Number(aOverload, "admitted_fraction"));
  text += fmt::format("  capacity {}: {:.0f} of {:.0f} tokens in use by all gateways, quota {:.0f}{}\n",
                      aOverload.at("scarce").as_bool() ? "scarce" : "not scarce",
                      Number(aOverload, "in_use_tokens"),
                      Number(aOverload, "capacity_tokens"),
                      Number(aOverload, "quota_tokens"),
                      aOverload.at("has_quota").as_bool() ? "" : " (used up)");
  std::string limited;
  std::size_t rank = 0;
  for (const json::value& each : aOverload.at("admitted_by_rank").as_array()) {
    const auto fraction = each.to_number<double>();
    limited += fraction < 1 ? fmt::format(" {}: {:.3f}", rank, fraction) : "";
    ++rank;
  }
  return text + fmt::format("  admitted fractions below 1, by rank:{}\n", limited.empty() ? " none" : limited);
}

std::string PathText(const json::object& aPath)
{
  std::string text;
  for (const json::value& each : aPath.at("stages").as_array()) {
    const json::object& stage = each.as_object();
    text += fmt::format("{}{} ({})", text.empty() ? "" : " > ", Text(stage, "backend"), Layers(stage));
  }
  return fmt::format(
    "  path {}; first event predicted in {}, cost {}\n", text, Ms(aPath, "first_event_ms"), Ms(aPath, "total_ms"));
}

std::string PoolText(const json::object& aPool)
{
  std::string text =
    fmt::format("pool {} (weight {:g}): {}\n", Text(aPool, "pool"), Number(aPool, "weight"), OutcomeText(aPool));
  if (Number(aPool, "tokens") > 0) {
    text += fmt::format("  {:.0f} tokens, prompt and expected output\n", Number(aPool, "tokens"));
  }
  if (Number(aPool, "permit_wait_ms") > 0) {
    text += fmt::format("  permit expected in {}\n", Ms(aPool, "permit_wait_ms"));
  }
  if (aPool.contains("overload")) {
    text += OverloadText(aPool.at("overload").as_object());
  }
  if (aPool.contains("path")) {
    text += PathText(aPool.at("path").as_object());
  } else if (aPool.at("engines").as_bool()) {
    text += "  no path through model engines\n";
  }
  for (const json::value& each : aPool.at("candidates").as_array()) {
    const json::object& candidate = each.as_object();
    text += fmt::format("  {:<16} {:<12} {:<14} {:>5.1f} running, queue {:>9}  {}\n",
                        Text(candidate, "backend"),
                        Text(candidate, "domain"),
                        Layers(candidate),
                        Number(candidate, "running"),
                        Ms(candidate, "queue_wait_ms"),
                        Text(candidate, "verdict"));
  }
  return text;
}

} // namespace

std::string RouteText(const json::object& aExplanation)
{
  std::string text;
  if (aExplanation.contains("route")) {
    text += fmt::format("route {}", Text(aExplanation, "route"));
    text += aExplanation.contains("workspace") ? ", workspace " + Text(aExplanation, "workspace") : "";
    text += fmt::format(", priority {:.0f}\n", Number(aExplanation, "priority"));
  }
  text += fmt::format("configuration {:.0f}\n", Number(aExplanation, "configuration"));
  if (aExplanation.at("leaving").as_bool()) {
    text += "the gateway is leaving and begins only requests that end before it stops\n";
  }
  if (Number(aExplanation, "status") > 0) {
    text += fmt::format("rejected with {:.0f}: {}\n", Number(aExplanation, "status"), Text(aExplanation, "reason"));
  }
  for (const json::value& each : aExplanation.at("pools").as_array()) {
    text += PoolText(each.as_object());
  }
  return text;
}

} // namespace chervilpulley::cli
