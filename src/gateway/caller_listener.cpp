#include "base/clock.h"
#include "base/decision_log.h"
#include "gateway/caller_session_p.h"

namespace chervilpulley::gateway {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

/// Pause after accepting a connection failed, for example because no file descriptors were left.
constexpr duration kAcceptPause = std::chrono::milliseconds(50);
/// Interval of log lines about connections that are closed because there are too many.
constexpr duration kRoomLogInterval = std::chrono::seconds(1);

} // namespace

bool listener_impl::Bind(const net::endpoint& aEndpoint)
{
  error_code error;
  const auto address = net::ToTcp(aEndpoint.mAddress, aEndpoint.mPort);
  mAcceptor.open(address.protocol(), error);
  mAcceptor.set_option(tcp::acceptor::reuse_address(true), error);
  mAcceptor.bind(address, error);
  if (!error) {
    mAcceptor.listen(1024, error);
  }
  return !error;
}

void listener_impl::Accept()
{
  mAcceptor.async_accept([self = ref<listener_impl>(this)](const error_code& aError, tcp::socket aSocket) {
    if (!aError) {
      // Accepted before the acceptor was closed, even if this runs after it.
      self->Serve(std::move(aSocket));
    }
    if (!self->mAcceptor.is_open()) {
      return;
    }
    if (aError) {
      log_line(log_event::AcceptFailed).Text("reason", aError.message());
      self->mRetryTimer.expires_after(kAcceptPause);
      self->mRetryTimer.async_wait([self](const error_code&) { self->Accept(); });
      return;
    }
    self->Accept();
  });
}

/// Serves a connection, or closes it if there are too many and all others are in use.
void listener_impl::Serve(tcp::socket aSocket)
{
  if (MakeRoom()) {
    MakeRef<session_impl>(ref<listener_impl>(this), std::move(aSocket))->WaitForRequest();
  }
}

/// Closes a connection if no other may be opened: the one that has been idle for longest since a response, else the
/// newest on which no request has begun. Returns false when all are in use.
bool listener_impl::MakeRoom()
{
  const std::size_t limit = mHost->MaxConnections();
  if (mOpenSockets < limit) {
    return true;
  }
  session_impl* unused = nullptr;
  session_impl* newest = nullptr;
  for (session_impl& session : mSessions) {
    const bool isOlder = unused == nullptr || session.PhaseSince() < unused->PhaseSince();
    if (session.HasHadRequest() && isOlder && session.IsUnused()) {
      unused = &session;
    }
  }
  for (auto session = mSessions.rbegin(); unused == nullptr && newest == nullptr && session != mSessions.rend();
       ++session) {
    newest = session->IsUnused() ? &*session : nullptr;
  }
  ++mClosedForRoom;
  const instant now = Now();
  if (now >= mNextRoomLog) {
    mNextRoomLog = now + kRoomLogInterval;
    log_line(log_event::CallerConnectionsLimited)
      .Count("open", mOpenSockets)
      .Count("limit", limit)
      .Count("closed", mClosedForRoom);
  }
  session_impl* closed = unused != nullptr ? unused : newest;
  if (closed == nullptr) {
    return false;
  }
  const ref<session_impl> kept(closed);
  kept->CloseForRoom();
  return true;
}

net::endpoint listener_impl::LocalEndpoint() const
{
  error_code ignored;
  const auto local = mAcceptor.local_endpoint(ignored);
  return { local.address().to_string(), local.port() };
}

void listener_impl::StopAccepting()
{
  // The kernel may already have established connections, and their callers may have sent requests. Closing the acceptor
  // would reset those connections, so they are accepted first.
  error_code error;
  mAcceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(mContext);
    mAcceptor.accept(socket, error);
    if (!error) {
      Serve(std::move(socket));
    }
  }
  mAcceptor.close(error);
}

void listener_impl::CloseIdle(duration aFirstRequestTime)
{
  for (auto session = mSessions.begin(); session != mSessions.end();) {
    const ref<session_impl> sessionRef(&*session);
    ++session;
    sessionRef->CloseIfIdle(aFirstRequestTime);
  }
}

void listener_impl::LogOpen(instant aNow) const
{
  for (const session_impl& session : mSessions) {
    session.LogOpen(aNow);
  }
}

ref<caller_listener> caller_listener::Open(asio::io_context& aContext,
                                           const net::endpoint& aEndpoint,
                                           ref<session_host> aHost)
{
  auto listener = MakeRef<listener_impl>(aContext, std::move(aHost));
  return listener->Bind(aEndpoint) ? ref<caller_listener>(listener) : nullptr;
}

} // namespace chervilpulley::gateway
