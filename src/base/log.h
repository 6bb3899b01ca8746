#pragma once

#include <spdlog/spdlog.h>

#include <string>

/// Logs: short sentences, one fixed prefix for each part. Keys, prompts and answers are never logged.
namespace chervilpulley {

/// Sets level ("debug", "info", "warning", "error") and form ("text", "json") of all logs; lines go to stderr.
void SetUpLogs(const std::string& aLevel, const std::string& aFormat, const std::string& aInstance);

/// A part's log. The prefix stands before each line.
class part_log
{
public:
  explicit constexpr part_log(const char* aPart)
    : mPart(aPart)
  {
  }
  template<class... Args>
  void Debug(fmt::format_string<Args...> aFormat, Args&&... aArgs) const
  {
    Write(spdlog::level::debug, "", aFormat, std::forward<Args>(aArgs)...);
  }
  template<class... Args>
  void Info(fmt::format_string<Args...> aFormat, Args&&... aArgs) const
  {
    Write(spdlog::level::info, "", aFormat, std::forward<Args>(aArgs)...);
  }
  template<class... Args>
  void Warning(fmt::format_string<Args...> aFormat, Args&&... aArgs) const
  {
    Write(spdlog::level::warn, "", aFormat, std::forward<Args>(aArgs)...);
  }
  template<class... Args>
  void Error(fmt::format_string<Args...> aFormat, Args&&... aArgs) const
  {
    Write(spdlog::level::err, "", aFormat, std::forward<Args>(aArgs)...);
  }
  /// A line about one request.
  template<class... Args>
  void Request(const std::string& aRequest, fmt::format_string<Args...> aFormat, Args&&... aArgs) const
  {
    Write(spdlog::level::info, aRequest, aFormat, std::forward<Args>(aArgs)...);
  }

private:
  template<class... Args>
  void Write(spdlog::level::level_enum aLevel,
             const std::string& aRequest,
             fmt::format_string<Args...> aFormat,
             Args&&... aArgs) const
  {
    if (spdlog::should_log(aLevel)) {
      WriteLine(aLevel, aRequest, fmt::format(aFormat, std::forward<Args>(aArgs)...));
    }
  }
  void WriteLine(spdlog::level::level_enum aLevel, const std::string& aRequest, const std::string& aText) const;

  const char* mPart;
};

} // namespace chervilpulley
