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

/// Child processes of the process tests: start, signals, exit status and output.
namespace chervilpulley::processes {

/// Timeout of every expected condition; reached only when a test fails.
inline constexpr duration kTestTimeout = std::chrono::seconds(20);

/// Polls a condition until it holds.
/// @return false when it did not hold within aLimit.
bool WaitUntil(const std::function<bool()>& aCondition, duration aLimit = kTestTimeout);

/// A temporary folder that the destructor removes.
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

/// Path of the program under test, from $CHERVILPULLEY_BINARY.
std::string BinaryPath();
/// Path of the stand-in program, from $CHERVILPULLEY_STANDIN.
std::string StandinPath();

/// A child process that prints a "listening" line. The destructor kills it.
class process
{
public:
  /// Starts a program and waits for its "listening" line; throws std::runtime_error when it prints none.
  /// @param aLogFile file to which the process's error output is appended; its standard output goes to a file next to
  /// it.
  process(std::vector<std::string> aArguments, std::string aLogFile);
  process(const process&) = delete;
  process& operator=(const process&) = delete;
  ~process();

  pid_t Pid() const { return mPid; }
  /// Contents of the "listening" line: addresses and identity of the process.
  const boost::json::object& Listening() const { return mListening; }
  /// Address that the process listens on for a purpose: "http", "link", "peer" or "admin".
  net::endpoint Address(std::string_view aPurpose) const;
  /// Error output of the process so far.
  std::string Log() const;
  /// Standard output of the process so far: the "listening" line and the structured log.
  std::string Output() const;

  /// Sends SIGKILL and waits for the exit.
  void Kill();
  /// Sends SIGSTOP.
  void Freeze();
  /// Sends SIGCONT.
  void Wake();
  /// Sends SIGTERM.
  void Terminate();
  /// Sends any signal.
  void Signal(int aSignal);
  /// Exit status, or 128 + signal; nullopt while the process runs.
  std::optional<int> Status();
  /// Waits for the exit and returns the status; nullopt when the process still runs after aLimit.
  std::optional<int> WaitForExit(duration aLimit = kTestTimeout);

private:
  /// @param aBegin where the process's output begins in the file.
  void ReadListeningLine(std::size_t aBegin);

  std::vector<std::string> mArguments;
  std::string mLogFile;
  std::string mOutputFile;
  pid_t mPid = -1;
  std::optional<int> mStatus;
  boost::json::object mListening;
};

/// Exit status and output of a program.
struct program_result
{
  int mStatus = 0;
  std::string mOut;
  std::string mErr;
};

/// Runs a program until it exits; throws std::runtime_error when it takes longer than aLimit.
program_result RunProgram(const std::vector<std::string>& aArguments, duration aLimit = kTestTimeout);

/// The most memory that a process has had, in KB; 0 when it has ended.
std::size_t PeakMemoryKb(const process& aProcess);

/// Time for which a process's first thread was ready to run and waited for a processor; 0 when it has ended.
duration ProcessorWait(const process& aProcess);

} // namespace chervilpulley::processes
