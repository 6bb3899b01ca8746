#include "entry/entry.h"

#include "base/log.h"
#include "entry/entry_server.h"

namespace chervilpulley::entry {

namespace {

constexpr part_log kLog("entry");

} // namespace

int Run(const settings::settings& aSettings)
{
  SetUpLogs(aSettings.log().level(), aSettings.log().format(), aSettings.instance().id());
  auto addresses = runtime::ParseAddresses(aSettings, false);
  if (addresses.has_error()) {
    kLog.Error("{}", addresses.error());
    return 1;
  }
  runtime::instance_core core(aSettings, addresses.value());
  entry_server server(core);
  const auto started = server.Start();
  if (started.has_error()) {
    kLog.Error("{}", started.error());
    return 1;
  }
  runtime::RunThreads(core.Context(), aSettings.instance().threads());
  return 0;
}

} // namespace chervilpulley::entry
