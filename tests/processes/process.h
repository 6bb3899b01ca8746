#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

#include "chervilpulley/units.h"
#include "net/endpoint.h"

namespace chervilpulley::processes {

/// Longest wait for anything that a test expects; reached only when the test fails.
inline constexpr duration kAmple = std::chrono::seconds(20);

/// Waits until a condition holds, asking again and again.
/// @return false when it did not hold within aLimit.
bool WaitUntil(const std::function<bool()>& aCondition, duration aLimit = kAmple);

/// A folder that is removed with the object.
class temporary_folder
{
public:
  temporary_folder();
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;
  ~temporary_folder();
  /// Path of a file in the folder.
  std::string File(std::string_view aName) const;
  /// Writes a file and returns its path.
  std::string Write(std::string_view aName, std::string_view aText) const;

private:
  std::filesystem::path mPath;
};

/// The program under test, $CHERVILPULLEY_BINARY.
std::string BinaryPath();
/// The stand-ins, $CHERVILPULLEY_STANDIN.
std::string StandinPath();

/// A child process that prints a "listening" line. It is killed with the object.
class process
{
public:
  /// Starts a program and waits for its line; throws std::runtime_error when none comes.
  /// @param aLogFile takes its error output.
  process(std::vector<std::string> aWords, std::string aLogFile);
  process(const process&) = delete;
  process& operator=(const process&) = delete;
  ~process();

  pid_t Pid() const { return mPid; }
  const boost::json::object& Listening() const { return mListening; }
  /// One of its addresses: "http", "link", "peer" or "admin".
  net::endpoint Address(std::string_view aPurpose) const;
  /// Its error output so far.
  std::string Log() const;

  /// SIGKILL, and waits for the end.
  void Kill();
  /// SIGSTOP.
  void Freeze();
  /// SIGCONT.
  void Wake();
  /// SIGTERM.
  void Terminate();
  /// Exit status, or 128 + signal; nothing while it runs.
  std::optional<int> Status();
  /// Status after waiting for the end; nothing when it still runs after aLimit.
  std::optional<int> WaitForEnd(duration aLimit = kAmple);

private:
  void ReadListeningLine();
  void Signal(int aSignal);

  std::vector<std::string> mWords;
  std::string mLogFile;
  pid_t mPid = -1;
  int mOutput = -1;
  std::optional<int> mStatus;
  boost::json::object mListening;
};

/// What a program that has ended left behind.
struct finished
{
  int mStatus = 0;
  std::string mOut;
  std::string mErr;
};

/// Runs a program to its end; throws std::runtime_error when it takes longer than aLimit.
finished RunProgram(const std::vector<std::string>& aWords, duration aLimit = kAmple);

} // namespace chervilpulley::processes
