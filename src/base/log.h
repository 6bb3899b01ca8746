#pragma once

#include <spdlog/spdlog.h>

#include <string>

/// Diagnostic log on standard error: short sentences with a fixed prefix for each part of the program. Keys, prompts
/// and outputs are never logged.
namespace chervilpulley {

/// Sets the level ("debug", "info", "warning", "error") and format ("text", "json") of all logs; lines go to stderr.
void SetUpLogs(const std::string& aLevel, const std::string& aFormat, const std::string& aInstance);

/// The log of one part of the program; each line starts with the part's name.
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
  /// Logs a line about one request, at level info, with the request's id.
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
