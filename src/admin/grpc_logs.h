#pragma once

namespace chervilpulley::admin {

/// Stops the gRPC library from writing lines of its own; its errors come back as statuses, and we log those.
void SilenceGrpcLogs();

} // namespace chervilpulley::admin
