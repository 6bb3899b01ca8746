#include "base/log.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>
#include <spdlog/sinks/stdout_sinks.h>

namespace chervilpulley {

namespace {

bool sJsonLines = false;

spdlog::level::level_enum LevelOf(const std::string& aLevel)
{
  if (aLevel == "debug") {
    return spdlog::level::debug;
  }
  if (aLevel == "warning") {
    return spdlog::level::warn;
  }
  if (aLevel == "error") {
    return spdlog::level::err;
  }
  return spdlog::level::info;
}

} // namespace

void SetUpLogs(const std::string& aLevel, const std::string& aFormat, const std::string& aInstance)
{
  auto logger = std::make_shared<spdlog::logger>(aInstance, std::make_shared<spdlog::sinks::stderr_sink_mt>());
  sJsonLines = aFormat == "json";
  if (sJsonLines) {
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","instance":"%n",%v})");
  } else {
    logger->set_pattern("%Y-%m-%d %H:%M:%S.%e %l %n %v");
  }
  logger->set_level(LevelOf(aLevel));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

void part_log::WriteLine(spdlog::level::level_enum aLevel, const std::string& aRequest, const std::string& aText) const
{
  if (sJsonLines) {
    const auto text = boost::json::serialize(boost::json::value(aText));
    const auto request = boost::json::serialize(boost::json::value(aRequest));
    spdlog::log(aLevel, R"("part":"{}","request":{},"message":{})", mPart, request, text);
    return;
  }
  if (aRequest.empty()) {
    spdlog::log(aLevel, "{}: {}", mPart, aText);
  } else {
    spdlog::log(aLevel, "{}: {} request={}", mPart, aText, aRequest);
  }
}

} // namespace chervilpulley
