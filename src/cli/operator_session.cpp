#include "cli/operator_session.h"

#include <boost/algorithm/string/trim.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdlib>
#include <fstream>
#include <ostream>
#include <sstream>

#include "cli/object_kinds.h"
#include "cli/suggest.h"

DEFINE_string(client_address, "", "Operators' address of an entry, ip:port.");
DEFINE_string(client_key_file, "", "File that holds the key; else the variable CHERVILPULLEY_KEY does.");
DEFINE_uint32(client_timeout_ms, 10000, "Longest wait for one call, in ms.");

DEFINE_string(operator_output, "table", "Form of the output, table or json.");

namespace chervilpulley::cli {

namespace {

constexpr const char* kKeyVariable = "CHERVILPULLEY_KEY";

/// Reads the key from the file or the environment; empty when there is none.
std::string ReadKey()
{
  if (!FLAGS_client_key_file.empty()) {
    std::ifstream in(FLAGS_client_key_file);
    std::ostringstream text;
    text << in.rdbuf();
    return boost::algorithm::trim_copy(text.str());
  }
  const char* key = std::getenv(kKeyVariable);
  return key == nullptr ? "" : key;
}

std::string KeyFault()
{
  if (!FLAGS_client_key_file.empty()) {
    return fmt::format("file \"{}\" of flag \"--key-file\" holds no key", FLAGS_client_key_file);
  }
  return fmt::format("a key is needed, by flag \"--key-file\" or variable {}", kKeyVariable);
}

} // namespace

std::vector<flag> WithClientFlags(std::vector<flag> aFlags)
{
  aFlags.push_back({ "address", "client_address" });
  aFlags.push_back({ "key-file", "client_key_file" });
  aFlags.push_back({ "timeout-ms", "client_timeout_ms" });
  return aFlags;
}

bool IsJson()
{
  return FLAGS_operator_output == "json";
}

bool CheckOutput(std::string_view aCommand, streams aStreams)
{
  if (IsJson() || FLAGS_operator_output == "table") {
    return true;
  }
  aStreams.mErr << fmt::format(
    "{}: value \"{}\" of flag \"--output\" must be table or json\n", aCommand, FLAGS_operator_output);
  return false;
}

std::optional<admin::object_kind> ReadKind(std::string_view aCommand, const std::string& aWord, streams aStreams)
{
  const auto kind = KindOfText(aWord);
  if (!kind) {
    const std::string suggestion = Suggest(aWord, KindTexts());
    const std::string hint = suggestion.empty() ? fmt::format("kinds are {}", fmt::join(KindTexts(), ", "))
                                                : fmt::format("did you mean \"{}\"?", suggestion);
    aStreams.mErr << fmt::format("{}: kind \"{}\" does not exist; {}\n", aCommand, aWord, hint);
  }
  return kind;
}

ref<admin_client> Connect(std::string_view aCommand, streams aStreams)
{
  const auto address = net::ParseEndpoint(FLAGS_client_address);
  if (!address) {
    const std::string text = FLAGS_client_address.empty() ? "flag \"--address\" is needed" : address.error().mMessage;
    aStreams.mErr << aCommand << ": " << text << "\n";
    return nullptr;
  }
  const std::string key = ReadKey();
  if (key.empty()) {
    aStreams.mErr << aCommand << ": " << KeyFault() << "\n";
    return nullptr;
  }
  return admin_client::Create({ address.value(), key, std::chrono::milliseconds(FLAGS_client_timeout_ms) });
}

int ExitOf(const client_error& aError)
{
  switch (aError.mCode) {
    case client_errc::Refused:
      return ExitRefused;
    case client_errc::Conflict:
      return ExitConflict;
    case client_errc::Unavailable:
      return ExitUnavailable;
    case client_errc::Unknown:
      return ExitUnknown;
  }
  return ExitUnknown;
}

int Fail(std::string_view aCommand, const client_error& aError, streams aStreams)
{
  aStreams.mErr << aCommand << ": " << aError.mMessage << "\n";
  return ExitOf(aError);
}

} // namespace chervilpulley::cli
