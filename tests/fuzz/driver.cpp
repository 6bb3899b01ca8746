/// Runs a fuzz target where libFuzzer is not linked: a bounded number of inputs, generated from a fixed seed.
///
///   fuzz_NAME [-seed=N] [-runs=N]   runs N generated inputs
///   fuzz_NAME FILE...               runs the contents of the files, as libFuzzer does

#include <csignal>
#include <cstring>
#include <fstream>
#include <iostream>
#include <iterator>

#include <unistd.h>

#include "fuzz/fuzz_target.h"
#include "fuzz/mutator.h"

using namespace chervilpulley::fuzz;

namespace {

struct driver_options
{
  std::uint64_t mSeed = 1;
  std::uint64_t mRuns = 10000;
  std::vector<std::string> mFiles;
};

const std::string* sCurrentInput = nullptr; ///< the input that is running, for the crash report

/// Prints the current input in hex. Calls only functions that are safe in a signal handler.
void ReportCrash(int aSignal)
{
  constexpr const char* kDigits = "0123456789abcdef";
  constexpr char kMessage[] = "fuzz target failed; input in hex: ";
  ssize_t written = write(STDERR_FILENO, kMessage, sizeof kMessage - 1);
  for (std::size_t i = 0; sCurrentInput != nullptr && i < sCurrentInput->size(); ++i) {
    const auto byte = static_cast<unsigned char>((*sCurrentInput)[i]);
    const char digits[] = { kDigits[byte >> 4U], kDigits[byte & 15U] };
    written += write(STDERR_FILENO, digits, sizeof digits);
  }
  written += write(STDERR_FILENO, "\n", 1);
  std::signal(aSignal, SIG_DFL);
  std::raise(aSignal);
}

driver_options ReadOptions(int aCount, char** aArguments)
{
  driver_options options;
  for (int i = 1; i < aCount; ++i) {
    const std::string argument = aArguments[i];
    if (argument.rfind("-seed=", 0) == 0) {
      options.mSeed = std::stoull(argument.substr(std::strlen("-seed=")));
    } else if (argument.rfind("-runs=", 0) == 0) {
      options.mRuns = std::stoull(argument.substr(std::strlen("-runs=")));
    } else {
      options.mFiles.push_back(argument);
    }
  }
  return options;
}

void RunInput(const std::string& aInput)
{
  sCurrentInput = &aInput;
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(aInput.data()), aInput.size());
  sCurrentInput = nullptr;
}

bool RunFile(const std::string& aFile)
{
  std::ifstream in(aFile, std::ios::binary);
  if (!in) {
    std::cerr << aFile << ": cannot read file\n";
    return false;
  }
  RunInput(std::string(std::istreambuf_iterator<char>(in), {}));
  return true;
}

} // namespace

int main(int aCount, char** aArguments)
{
  const driver_options options = ReadOptions(aCount, aArguments);
  for (const int signal : { SIGABRT, SIGSEGV, SIGFPE, SIGBUS, SIGILL }) {
    std::signal(signal, ReportCrash);
  }
  bool areFilesRead = true;
  for (const std::string& file : options.mFiles) {
    areFilesRead = RunFile(file) && areFilesRead;
  }
  if (!options.mFiles.empty()) {
    return areFilesRead ? 0 : 1;
  }
  mutator inputs(SeedInputs(), options.mSeed);
  for (std::uint64_t run = 0; run < options.mRuns; ++run) {
    RunInput(inputs.Next());
  }
  std::cout << options.mRuns << " inputs from seed " << options.mSeed << "\n";
  return 0;
}
