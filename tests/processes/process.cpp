#include "processes/process.h"

#include <boost/json/parse.hpp>

#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <signal.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <system_error>
#include <thread>
#include <unistd.h>

#include "base/random.h"

extern char** environ;

namespace chervilpulley::processes {

namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(5);
constexpr int kSignalStatusBase = 128;

/// Owns a posix_spawn_file_actions_t: the redirections of the child's file descriptors.
class file_actions
{
public:
  file_actions() { posix_spawn_file_actions_init(&mActions); }
  file_actions(const file_actions&) = delete;
  file_actions& operator=(const file_actions&) = delete;
  ~file_actions() { posix_spawn_file_actions_destroy(&mActions); }
  void Write(int aFile, const std::string& aPath)
  {
    posix_spawn_file_actions_addopen(&mActions, aFile, aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  }
  const posix_spawn_file_actions_t* Get() const { return &mActions; }

private:
  posix_spawn_file_actions_t mActions{};
};

pid_t Spawn(std::vector<std::string> aArguments, const file_actions& aActions)
{
  std::vector<char*> arguments;
  arguments.reserve(aArguments.size() + 1);
  for (std::string& word : aArguments) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  pid_t pid = -1;
  const int error = posix_spawn(&pid, aArguments[0].c_str(), aActions.Get(), nullptr, arguments.data(), environ);
  if (error != 0) {
    throw std::system_error(error, std::generic_category(), "can't start " + aArguments[0]);
  }
  return pid;
}

int ToExitStatus(int aWaitStatus)
{
  return WIFEXITED(aWaitStatus) ? WEXITSTATUS(aWaitStatus) : kSignalStatusBase + WTERMSIG(aWaitStatus);
}

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string Environment(const char* aName)
{
  const char* value = std::getenv(aName);
  if (value == nullptr) {
    throw std::runtime_error(std::string(aName) + " is not set; run the tests by ctest");
  }
  return value;
}

} // namespace

bool WaitUntil(const std::function<bool()>& aCondition, duration aLimit)
{
  const auto deadline = std::chrono::steady_clock::now() + aLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

temporary_folder::temporary_folder()
  : mPath(std::filesystem::temp_directory_path() / ("chervilpulley-" + RandomHex(8)))
{
  std::filesystem::create_directories(mPath);
}

temporary_folder::~temporary_folder()
{
  std::error_code ignored;
  std::filesystem::remove_all(mPath, ignored);
}

std::string temporary_folder::File(std::string_view aName) const
{
  return (mPath / aName).string();
}

std::string temporary_folder::Write(std::string_view aName, std::string_view aText) const
{
  std::ofstream(File(aName)) << aText;
  return File(aName);
}

std::string BinaryPath()
{
  return Environment("CHERVILPULLEY_BINARY");
}

std::string StandinPath()
{
  return Environment("CHERVILPULLEY_STANDIN");
}

process::process(std::vector<std::string> aArguments, std::string aLogFile)
  : mArguments(std::move(aArguments))
  , mLogFile(std::move(aLogFile))
  , mOutputFile(mLogFile + ".out")
{
  file_actions actions;
  actions.Write(STDOUT_FILENO, mOutputFile);
  actions.Write(STDERR_FILENO, mLogFile);
  const std::size_t begin = Output().size();
  mPid = Spawn(mArguments, actions);
  try {
    ReadListeningLine(begin);
  } catch (...) {
    Kill();
    throw;
  }
}

process::~process()
{
  Kill();
}

net::endpoint process::Address(std::string_view aPurpose) const
{
  const boost::json::value* address = mListening.if_contains(aPurpose);
  if (address == nullptr || !address->is_string()) {
    throw std::runtime_error(mArguments[0] + " has no address for " + std::string(aPurpose));
  }
  return net::ParseEndpoint(std::string_view(address->get_string())).value();
}

std::string process::Log() const
{
  return ReadFile(mLogFile);
}

std::string process::Output() const
{
  return ReadFile(mOutputFile);
}

void process::Kill()
{
  Signal(SIGKILL);
  WaitForExit();
}

void process::Freeze()
{
  Signal(SIGSTOP);
}

void process::Wake()
{
  Signal(SIGCONT);
}

void process::Terminate()
{
  Signal(SIGTERM);
}

std::optional<int> process::Status()
{
  int waitStatus = 0;
  if (!mStatus && mPid > 0 && waitpid(mPid, &waitStatus, WNOHANG) == mPid) {
    mStatus = ToExitStatus(waitStatus);
  }
  return mStatus;
}

std::optional<int> process::WaitForExit(duration aLimit)
{
  if (mPid > 0) {
    WaitUntil([this] { return Status().has_value(); }, aLimit);
  }
  return mStatus;
}

void process::ReadListeningLine(std::size_t aBegin)
{
  std::string output;
  std::size_t end = std::string::npos;
  const auto isPrinted = [&] {
    const bool hasExited = Status().has_value();
    output = Output();
    end = output.find('\n', aBegin);
    return end != std::string::npos || hasExited;
  };
  if (!WaitUntil(isPrinted) || end == std::string::npos) {
    throw std::runtime_error(mArguments[0] + " " + mArguments[1] + " did not print its listening addresses: " + Log());
  }
  const std::string line = output.substr(aBegin, end - aBegin);
  mListening = boost::json::parse(line).as_object().at("listening").as_object();
}

void process::Signal(int aSignal)
{
  if (mPid > 0 && !Status()) {
    kill(mPid, aSignal);
  }
}

program_result RunProgram(const std::vector<std::string>& aArguments, duration aLimit)
{
  const temporary_folder folder;
  file_actions actions;
  actions.Write(STDOUT_FILENO, folder.File("out"));
  actions.Write(STDERR_FILENO, folder.File("err"));
  const pid_t pid = Spawn(aArguments, actions);
  int waitStatus = 0;
  if (!WaitUntil([&] { return waitpid(pid, &waitStatus, WNOHANG) == pid; }, aLimit)) {
    kill(pid, SIGKILL);
    waitpid(pid, &waitStatus, 0);
    throw std::runtime_error(aArguments[0] + " " + aArguments[1] +
                             " did not exit in time: " + ReadFile(folder.File("err")));
  }
  return { ToExitStatus(waitStatus), ReadFile(folder.File("out")), ReadFile(folder.File("err")) };
}

std::size_t PeakMemoryKb(const process& aProcess)
{
  std::ifstream status("/proc/" + std::to_string(aProcess.Pid()) + "/status");
  for (std::string word; status >> word;) {
    if (word == "VmHWM:") {
      std::size_t size = 0;
      status >> size;
      return size;
    }
  }
  return 0;
}

duration ProcessorWait(const process& aProcess)
{
  std::ifstream status("/proc/" + std::to_string(aProcess.Pid()) + "/schedstat");
  std::uint64_t ran = 0;
  std::uint64_t waited = 0;
  status >> ran >> waited;
  return std::chrono::duration_cast<duration>(std::chrono::nanoseconds(waited));
}

} // namespace chervilpulley::processes
