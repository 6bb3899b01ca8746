#include "cli/change_text.h"

#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>

#include "policy/config_objects.h"

namespace chervilpulley::cli {

namespace {

/// Fills in the omitted fields of an operation; returns a description of its fault, or an empty text.
std::string FillDefaults(admin::operation& aOperation)
{
  if (aOperation.op() == admin::CHANGE_OP_UNSPECIFIED) {
    aOperation.set_op(admin::CHANGE_OP_PUT);
  }
  const bool isDelete = aOperation.op() == admin::CHANGE_OP_DELETE;
  const admin::object_kind kind = policy::KindOf(aOperation.object());
  if (!isDelete && kind == admin::OBJECT_KIND_UNSPECIFIED) {
    return "has no object";
  }
  if (!aOperation.has_ref() && !isDelete) {
    aOperation.mutable_ref()->set_kind(kind);
    aOperation.mutable_ref()->set_name(policy::NameOf(aOperation.object()));
  }
  if (aOperation.ref().kind() == admin::OBJECT_KIND_UNSPECIFIED || aOperation.ref().name().empty()) {
    return "names no object";
  }
  return "";
}

} // namespace

change_result<admin::change> ParseChangeJson(const std::string& aText, const std::string& aFile)
{
  admin::change change;
  const auto parsed = google::protobuf::util::JsonStringToMessage(aText, &change);
  if (!parsed.ok()) {
    return std::vector<change_fault>{ { fmt::format("{}: {}", aFile, std::string(parsed.message())) } };
  }
  std::vector<change_fault> faults;
  for (int i = 0; i < change.operations_size(); ++i) {
    const std::string fault = FillDefaults(*change.mutable_operations(i));
    if (!fault.empty()) {
      faults.push_back({ fmt::format("{}: operation {} {}", aFile, i + 1, fault) });
    }
  }
  if (change.operations().empty()) {
    faults.push_back({ fmt::format("{}: there are no operations", aFile) });
  }
  if (!faults.empty()) {
    return faults;
  }
  return change;
}

} // namespace chervilpulley::cli
