#include "cli/commands.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <ostream>

#include "base/random.h"
#include "cli/apply_change.h"
#include "cli/change_text.h"
#include "cli/operator_session.h"

DEFINE_string(operator_file, "", "File of the change, INI or JSON; - is standard input.");
DEFINE_bool(operator_validate, false, "Only validate the change.");
DEFINE_string(operator_change_id, "", "Id of the change; random when absent. Sending the same id again is safe.");
DEFINE_uint64(operator_expected_version, 0, "Version that the object must have; 0 is any.");

namespace chervilpulley::cli {

namespace {

using words = std::vector<std::string>;

constexpr std::size_t kChangeIdBytes = 12;
constexpr duration kRetryDelay = std::chrono::milliseconds(200);
constexpr flag kChangeId{ "change-id", "operator_change_id" };

std::string ChosenChangeId(const std::string& aIdFromFile)
{
  if (!FLAGS_operator_change_id.empty()) {
    return FLAGS_operator_change_id;
  }
  return aIdFromFile.empty() ? RandomHex(kChangeIdBytes) : aIdFromFile;
}

int SendChange(std::string_view aCommand, const admin::apply_request& aRequest, streams aStreams)
{
  const auto client = Connect(aCommand, aStreams);
  if (!client) {
    return ExitUsage;
  }
  const auto applied = ApplyChange(*client, aRequest, kRetryDelay);
  const std::string& id = aRequest.change().change_id();
  if (!applied) {
    if (applied.error().mCode == client_errc::Unknown) {
      aStreams.mErr << fmt::format("{}: the outcome is unknown; send it again with --change-id {}\n", aCommand, id);
    }
    return Fail(aCommand, applied.error(), aStreams);
  }
  const admin::apply_reply& reply = applied.value();
  if (aRequest.validate_only()) {
    aStreams.mOut << "valid\n";
    return ExitOk;
  }
  aStreams.mOut << fmt::format("change \"{}\" is revision {}{}{}\n",
                               id,
                               reply.revision(),
                               reply.repeated() ? ", accepted before" : "",
                               reply.spread_pending() ? ", spread pending" : "");
  return ExitOk;
}

int Apply(const words&, streams aStreams)
{
  if (FLAGS_operator_file.empty()) {
    aStreams.mErr << "apply: flag \"--file\" is needed\n";
    return ExitUsage;
  }
  auto loaded = LoadChange(FLAGS_operator_file);
  if (!loaded) {
    for (const change_fault& fault : loaded.error()) {
      aStreams.mErr << fault.mText << "\n";
    }
    return ExitRefused;
  }
  admin::apply_request request;
  *request.mutable_change() = loaded.value();
  request.mutable_change()->set_change_id(ChosenChangeId(loaded.value().change_id()));
  request.set_validate_only(FLAGS_operator_validate);
  return SendChange("apply", request, aStreams);
}

int Delete(const words& aArguments, streams aStreams)
{
  const auto kind = ReadKind("delete", aArguments[0], aStreams);
  if (!kind) {
    return ExitUsage;
  }
  admin::apply_request request;
  request.mutable_change()->set_change_id(ChosenChangeId(""));
  admin::operation* operation = request.mutable_change()->add_operations();
  operation->set_op(admin::CHANGE_OP_DELETE);
  operation->mutable_ref()->set_kind(*kind);
  operation->mutable_ref()->set_name(aArguments[1]);
  operation->set_expected_version(FLAGS_operator_expected_version);
  return SendChange("delete", request, aStreams);
}

} // namespace

std::vector<command> ChangeCommands()
{
  return {
    { "apply",
      "-f FILE",
      "Applies a change from an INI or JSON file.",
      WithClientFlags({ { "file", "operator_file", 'f' }, { "validate", "operator_validate" }, kChangeId }),
      0,
      0,
      Apply },
    { "delete",
      "KIND NAME",
      "Deletes an object.",
      WithClientFlags({ { "expected-version", "operator_expected_version" }, kChangeId }),
      2,
      2,
      Delete },
  };
}

} // namespace chervilpulley::cli
