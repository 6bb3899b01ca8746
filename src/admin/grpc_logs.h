#pragma once

namespace chervilpulley::admin {

/// Disables the gRPC library's own log output; its errors are returned as statuses, which are logged instead.
void SilenceGrpcLogs();

} // namespace chervilpulley::admin
