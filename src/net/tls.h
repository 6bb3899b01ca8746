#pragma once

#include <string>

#include "base/ref_counted.h"
#include "net/net_error.h"

namespace chervilpulley::net {

/// A certificate and its key, shared by listeners; Reload() takes effect for new connections.
class tls_context : public ref_counted
{
public:
  /// @return an error that names the file that can't be used.
  static net_result<ref<tls_context>> Load(const std::string& aCertificateFile, const std::string& aPrivateKeyFile);
  virtual net_result<void> Reload() = 0;
};

} // namespace chervilpulley::net
