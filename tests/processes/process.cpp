#include "processes/process.h"

#include <boost/json/parse.hpp>

#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <poll.h>
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
constexpr int kSignalStatus = 128;

/// Actions on the child's files, released with the object.
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
  void Duplicate(int aFrom, int aTo) { posix_spawn_file_actions_adddup2(&mActions, aFrom, aTo); }
  const posix_spawn_file_actions_t* Get() const { return &mActions; }

private:
  posix_spawn_file_actions_t mActions{};
};

pid_t Spawn(std::vector<std::string> aWords, const file_actions& aActions)
{
  std::vector<char*> arguments;
  arguments.reserve(aWords.size() + 1);
  for (std::string& word : aWords) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  pid_t pid = -1;
  const int error = posix_spawn(&pid, aWords[0].c_str(), aActions.Get(), nullptr, arguments.data(), environ);
  if (error != 0) {
    throw std::system_error(error, std::generic_category(), "can't start " + aWords[0]);
  }
  return pid;
}

int ToStatus(int aWaited)
{
  return WIFEXITED(aWaited) ? WEXITSTATUS(aWaited) : kSignalStatus + WTERMSIG(aWaited);
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

process::process(std::vector<std::string> aWords, std::string aLogFile)
  : mWords(std::move(aWords))
  , mLogFile(std::move(aLogFile))
{
  int ends[2] = { -1, -1 };
  if (pipe2(ends, O_CLOEXEC) != 0) {
    throw std::system_error(errno, std::generic_category(), "can't make a pipe");
  }
  file_actions actions;
  actions.Duplicate(ends[1], STDOUT_FILENO);
  actions.Write(STDERR_FILENO, mLogFile);
  mOutput = ends[0];
  try {
    mPid = Spawn(mWords, actions);
    close(ends[1]);
    ReadListeningLine();
  } catch (...) {
    Signal(SIGKILL);
    WaitForEnd();
    close(mOutput);
    throw;
  }
}

process::~process()
{
  Kill();
  close(mOutput);
}

net::endpoint process::Address(std::string_view aPurpose) const
{
  const boost::json::value* address = mListening.if_contains(aPurpose);
  if (address == nullptr || !address->is_string()) {
    throw std::runtime_error(mWords[0] + " has no address for " + std::string(aPurpose));
  }
  return net::ParseEndpoint(std::string_view(address->get_string())).value();
}

std::string process::Log() const
{
  return ReadFile(mLogFile);
}

void process::Kill()
{
  Signal(SIGKILL);
  WaitForEnd();
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
  int waited = 0;
  if (!mStatus && mPid > 0 && waitpid(mPid, &waited, WNOHANG) == mPid) {
    mStatus = ToStatus(waited);
  }
  return mStatus;
}

std::optional<int> process::WaitForEnd(duration aLimit)
{
  if (mPid > 0) {
    WaitUntil([this] { return Status().has_value(); }, aLimit);
  }
  return mStatus;
}

void process::ReadListeningLine()
{
  const auto deadline = std::chrono::steady_clock::now() + kAmple;
  std::string line;
  while (line.find('\n') == std::string::npos) {
    const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
    pollfd wanted{ mOutput, POLLIN, 0 };
    char piece[4096];
    const bool ready = left.count() > 0 && poll(&wanted, 1, static_cast<int>(left.count())) > 0;
    const ssize_t size = ready ? read(mOutput, piece, sizeof piece) : 0;
    if (size <= 0) {
      throw std::runtime_error(mWords[0] + " " + mWords[1] + " did not say where it listens: " + Log());
    }
    line.append(piece, static_cast<std::size_t>(size));
  }
  // Lines of the log may have come with it.
  mListening = boost::json::parse(line.substr(0, line.find('\n'))).as_object().at("listening").as_object();
}

void process::Signal(int aSignal)
{
  if (mPid > 0 && !Status()) {
    kill(mPid, aSignal);
  }
}

finished RunProgram(const std::vector<std::string>& aWords, duration aLimit)
{
  const temporary_folder folder;
  file_actions actions;
  actions.Write(STDOUT_FILENO, folder.File("out"));
  actions.Write(STDERR_FILENO, folder.File("err"));
  const pid_t pid = Spawn(aWords, actions);
  int waited = 0;
  if (!WaitUntil([&] { return waitpid(pid, &waited, WNOHANG) == pid; }, aLimit)) {
    kill(pid, SIGKILL);
    waitpid(pid, &waited, 0);
    throw std::runtime_error(aWords[0] + " " + aWords[1] + " did not end in time: " + ReadFile(folder.File("err")));
  }
  return { ToStatus(waited), ReadFile(folder.File("out")), ReadFile(folder.File("err")) };
}

} // namespace chervilpulley::processes
