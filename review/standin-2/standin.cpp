#include "standin.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdarg>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standin {

namespace json = boost::json;
using clock = std::chrono::steady_clock;

namespace {

const clock::time_point sStart = clock::now();
constexpr double kBeatMs = 1200;
constexpr double kStoreAnswerMs = 4;

bool EqualNames(const std::string& aLeft, const std::string& aRight)
{
  return ::strcasecmp(aLeft.c_str(), aRight.c_str()) == 0;
}

std::string QueryValue(const std::string& aTarget, const std::string& aName)
{
  std::size_t at = aTarget.find('?');
  while (at != std::string::npos) {
    const std::size_t end = aTarget.find('&', at + 1);
    const std::string pair = aTarget.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (pair.rfind(aName + "=", 0) == 0) {
      return pair.substr(aName.size() + 1);
    }
    at = end;
  }
  return "";
}

std::uint64_t ToCount(const json::value* aValue)
{
  return aValue != nullptr && aValue->is_number() ? aValue->to_number<std::uint64_t>() : 0;
}

} // namespace

std::unique_ptr<record> gRecord;

double NowMs()
{
  return std::chrono::duration<double, std::milli>(clock::now() - sStart).count();
}

void SleepMs(double aMs)
{
  if (aMs > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(aMs));
  }
}

void SleepUntilMs(double aMs)
{
  SleepMs(aMs - NowMs());
}

record::record(const std::string& aPath)
  : mFile(aPath)
{
}

void record::Line(const std::string& aText)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mFile << aText << std::endl;
}

void Log(const char* aFormat, ...)
{
  char text[1500];
  va_list arguments;
  va_start(arguments, aFormat);
  std::vsnprintf(text, sizeof(text), aFormat, arguments);
  va_end(arguments);
  char line[1600];
  std::snprintf(line, sizeof(line), "%9.1f %s", NowMs(), text);
  if (gRecord) {
    gRecord->Line(line);
  }
}

std::string message::Get(const std::string& aName) const
{
  for (const auto& [name, value] : mHeaders) {
    if (EqualNames(name, aName)) {
      return value;
    }
  }
  return "";
}

std::string message::Method() const
{
  return mStart.substr(0, mStart.find(' '));
}

std::string message::Target() const
{
  const std::size_t begin = mStart.find(' ') + 1;
  return mStart.substr(begin, mStart.find(' ', begin) - begin);
}

int message::Status() const
{
  return mStart.size() > 12 ? std::atoi(mStart.c_str() + 9) : 0;
}

connection::~connection()
{
  ::close(mFd);
}

std::shared_ptr<connection> connection::To(int aPort)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto made = std::make_shared<connection>(fd);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    return nullptr;
  }
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return made;
}

bool connection::Write(const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t size = ::send(mFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

bool connection::ReadMore(double aTimeoutMs)
{
  pollfd waiting{ mFd, POLLIN, 0 };
  if (::poll(&waiting, 1, static_cast<int>(std::max(0.0, aTimeoutMs))) <= 0) {
    return false;
  }
  char bytes[65536];
  const ssize_t size = ::recv(mFd, bytes, sizeof(bytes), 0);
  if (size <= 0) {
    mWasEnded = true;
    return false;
  }
  mInput.append(bytes, static_cast<std::size_t>(size));
  return true;
}

std::optional<message> connection::Read(double aTimeoutMs, bool aIsResponse)
{
  const double until = NowMs() + aTimeoutMs;
  std::size_t end = 0;
  while ((end = mInput.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(until - NowMs())) {
      return std::nullopt;
    }
  }
  message read;
  const std::string head = mInput.substr(0, end);
  mInput.erase(0, end + 4);
  std::size_t line = head.find("\r\n");
  read.mStart = head.substr(0, line);
  while (line != std::string::npos) {
    const std::size_t next = head.find("\r\n", line + 2);
    const std::string field = head.substr(line + 2, next == std::string::npos ? next : next - line - 2);
    const std::size_t colon = field.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = field.find_first_not_of(" \t", colon + 1);
      read.mHeaders.emplace_back(field.substr(0, colon), value == std::string::npos ? "" : field.substr(value));
    }
    line = next;
  }
  if (EqualNames(read.Get("Transfer-Encoding"), "chunked")) {
    while (true) {
      std::size_t eol = 0;
      while ((eol = mInput.find("\r\n")) == std::string::npos) {
        if (!ReadMore(until - NowMs())) {
          return std::nullopt;
        }
      }
      const std::size_t size = std::stoul(mInput.substr(0, eol), nullptr, 16);
      while (mInput.size() < eol + 2 + size + 2) {
        if (!ReadMore(until - NowMs())) {
          return std::nullopt;
        }
      }
      read.mBody += mInput.substr(eol + 2, size);
      mInput.erase(0, eol + 2 + size + 2);
      if (size == 0) {
        return read;
      }
    }
  }
  const std::string length = read.Get("Content-Length");
  if (length.empty() && aIsResponse && read.Status() >= 200 && read.Status() != 204) {
    while (ReadMore(until - NowMs())) {
    }
    read.mBody = std::move(mInput);
    mInput.clear();
    return read;
  }
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (mInput.size() < size) {
    if (!ReadMore(until - NowMs())) {
      return std::nullopt;
    }
  }
  read.mBody = mInput.substr(0, size);
  mInput.erase(0, size);
  return read;
}

void connection::Shut(bool aReset)
{
  if (aReset) {
    // Ends the connection with RST at once; shutdown() would send FIN.
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    ::connect(mFd, &none, sizeof(none));
    return;
  }
  ::shutdown(mFd, SHUT_RDWR);
}

server::server(int aPort, handler aHandler)
  : mHandler(std::move(aHandler))
{
  mListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(mListener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(mListener, 512) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  socklen_t size = sizeof(address);
  ::getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &size);
  mPort = ntohs(address.sin_port);
  mThread = std::thread([this] { Accept(); });
}

server::~server()
{
  StopListening();
  CloseAll(false);
}

void server::StopListening()
{
  if (!mIsStopped.exchange(true)) {
    ::shutdown(mListener, SHUT_RDWR);
    mThread.join();
    ::close(mListener);
  }
}

void server::Accept()
{
  while (!mIsStopped) {
    const int fd = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      if (mIsStopped) {
        return;
      }
      SleepMs(1);
      continue;
    }
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    auto accepted = std::make_shared<connection>(fd);
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      std::erase_if(mConnections, [](const auto& aKnown) { return aKnown.expired(); });
      mConnections.push_back(accepted);
    }
    std::thread([this, accepted] { mHandler(accepted); }).detach();
  }
}

void server::CloseAll(bool aReset)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const auto& each : mConnections) {
    if (const auto open = each.lock()) {
      open->Shut(aReset);
    }
  }
}

void server::SilenceAll()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const auto& each : mConnections) {
    if (const auto open = each.lock()) {
      open->mIsSilent = true;
    }
  }
}

std::size_t server::Open()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::size_t open = 0;
  for (const auto& each : mConnections) {
    open += each.expired() ? 0 : 1;
  }
  return open;
}

std::string Reply(int aStatus,
                  const std::string& aBody,
                  const std::vector<std::pair<std::string, std::string>>& aHeaders)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

store::store(int aPort)
{
  mServer = std::make_unique<server>(aPort, [this](const auto& aConnection) { Serve(aConnection); });
}

store::~store()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIsStopped = true;
  }
  mChanged.notify_all();
  mServer.reset();
  SleepMs(50);
}

std::string store::Text(const std::string& aName, const object& aObject)
{
  const json::object whole{ { "metadata",
                              { { "name", aName },
                                { "revision", aObject.mRevision },
                                { "createRev", aObject.mCreated },
                                { "finalizers", json::array() },
                                { "deleting", false } } },
                            { "spec", aObject.mSpec },
                            { "status", nullptr } };
  return json::serialize(whole);
}

void store::Note(const std::string& aKind, const std::string& aName, const object& aObject, bool aDeleted)
{
  event made;
  made.mKind = aKind;
  made.mRevision = mRevision;
  made.mText =
    std::string(R"({"deleted":)") + (aDeleted ? "true" : "false") + R"(,"object":)" + Text(aName, aObject) + "}";
  mEvents.push_back(std::move(made));
  mChanged.notify_all();
}

std::uint64_t store::Put(const std::string& aKind, const std::string& aName, const json::value& aSpec)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  object& written = mObjects[aKind][aName];
  if (written.mCreated != 0 && written.mSpec == aSpec) {
    return written.mRevision;
  }
  written.mSpec = aSpec;
  written.mRevision = ++mRevision;
  written.mCreated = written.mCreated == 0 ? mRevision : written.mCreated;
  Note(aKind, aName, written, false);
  return mRevision;
}

void store::Remove(const std::string& aKind, const std::string& aName)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mObjects[aKind].find(aName);
  if (found == mObjects[aKind].end()) {
    return;
  }
  const object removed = found->second;
  mObjects[aKind].erase(found);
  ++mRevision;
  Note(aKind, aName, removed, true);
}

json::value store::Spec(const std::string& aKind, const std::string& aName)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mObjects[aKind].find(aName);
  return found == mObjects[aKind].end() ? json::value(nullptr) : found->second.mSpec;
}

void store::SilenceAll()
{
  mServer->SilenceAll();
}

void store::Serve(const std::shared_ptr<connection>& aConnection)
{
  while (true) {
    const auto request = aConnection->Read(3'600'000, false);
    if (!request) {
      return;
    }
    if (aConnection->mIsSilent) {
      Log("store    unheard (silent connection) %s %s", request->Method().c_str(), request->Target().c_str());
      continue;
    }
    const double hold = mOnCall ? mOnCall(request->Method(), request->Target()) : 0;
    const std::string reply = Execute(*request, aConnection);
    SleepMs(kStoreAnswerMs + std::max(0.0, hold));
    if (hold < 0) {
      aConnection->mIsSilent = true;
    }
    if (aConnection->mIsSilent) {
      Log("store    answer lost (silent connection) %s %s", request->Method().c_str(), request->Target().c_str());
      continue;
    }
    if (reply.empty() || !aConnection->Write(reply)) {
      return;
    }
  }
}

std::string store::Execute(const message& aRequest, const std::shared_ptr<connection>& aConnection)
{
  const std::string target = aRequest.Target();
  const std::string path = target.substr(0, target.find('?'));
  const std::string prefix = "/chervilpulley/objects/";
  const std::vector<std::pair<std::string, std::string>> headers{ { "Content-Type", "application/json" } };
  if (path.rfind(prefix, 0) != 0) {
    return Reply(404, "{}", headers);
  }
  std::string kind = path.substr(prefix.size());
  std::string name;
  if (const std::size_t slash = kind.find('/'); slash != std::string::npos) {
    name = kind.substr(slash + 1);
    kind = kind.substr(0, slash);
  }
  const std::string method = aRequest.Method();
  std::unique_lock<std::mutex> lock(mMutex);
  auto& objects = mObjects[kind];
  if (method == "GET" && name.empty() && !QueryValue(target, "watch").empty()) {
    const std::uint64_t since = std::stoull(QueryValue(target, "watch"));
    const double until = NowMs() + std::min(30'000.0, std::atof(QueryValue(target, "waitMs").c_str()));
    while (true) {
      std::string events;
      for (const event& each : mEvents) {
        if (each.mKind == kind && each.mRevision > since) {
          events += (events.empty() ? "" : ",") + each.mText;
        }
      }
      if (!events.empty() || NowMs() >= until || mIsStopped || aConnection->mIsSilent) {
        return Reply(200, R"({"events":[)" + events + R"(],"currentRev":)" + std::to_string(mRevision) + "}", headers);
      }
      mChanged.wait_for(lock, std::chrono::milliseconds(20));
    }
  }
  if (method == "GET" && name.empty()) {
    std::string items;
    const std::string after = QueryValue(target, "after");
    for (const auto& [each, object] : objects) {
      if (after.empty() || each > after) {
        items += (items.empty() ? "" : ",") + Text(each, object);
      }
    }
    return Reply(
      200, R"({"items":[)" + items + R"(],"truncated":false,"currentRev":)" + std::to_string(mRevision) + "}", headers);
  }
  const auto found = objects.find(name);
  if (method == "GET") {
    return found == objects.end() ? Reply(404, "{}", headers) : Reply(200, Text(name, found->second), headers);
  }
  if (method == "DELETE") {
    if (found == objects.end()) {
      return Reply(404, "{}", headers);
    }
    const std::string expected = QueryValue(target, "revision");
    if (!expected.empty() && std::stoull(expected) != found->second.mRevision) {
      return Reply(409, Text(name, found->second), headers);
    }
    const object removed = found->second;
    objects.erase(found);
    ++mRevision;
    Note(kind, name, removed, true);
    return Reply(200, Text(name, removed), headers);
  }
  boost::system::error_code error;
  const json::value body = json::parse(aRequest.mBody, error);
  const json::object* members = error ? nullptr : body.if_object();
  const json::value* metadata = members == nullptr ? nullptr : members->if_contains("metadata");
  if (metadata == nullptr || !metadata->is_object()) {
    return Reply(400, "{}", headers);
  }
  const json::value* spec = members->if_contains("spec");
  if (method == "POST") {
    name = std::string(metadata->as_object().at("name").as_string());
    if (const auto present = objects.find(name); present != objects.end()) {
      return Reply(409, Text(name, present->second), headers);
    }
    object& made = objects[name];
    made.mSpec = spec == nullptr ? json::value(nullptr) : *spec;
    made.mRevision = made.mCreated = ++mRevision;
    Note(kind, name, made, false);
    return Reply(200, Text(name, made), headers);
  }
  if (method == "PUT") {
    if (found == objects.end()) {
      return Reply(404, "{}", headers);
    }
    const json::value* revision = metadata->as_object().if_contains("revision");
    if (revision != nullptr && ToCount(revision) != found->second.mRevision) {
      return Reply(409, Text(name, found->second), headers);
    }
    if (spec != nullptr && !(found->second.mSpec == *spec)) {
      found->second.mSpec = *spec;
      found->second.mRevision = ++mRevision;
      Note(kind, name, found->second, false);
    }
    return Reply(200, Text(name, found->second), headers);
  }
  return Reply(405, "{}", headers);
}

worker::worker(store& aStore,
               std::string aService,
               std::string aId,
               std::string aZone,
               double aWorkMs,
               int aSlots,
               int aPort)
  : mStore(aStore)
  , mService(std::move(aService))
  , mId(std::move(aId))
  , mZone(std::move(aZone))
  , mWorkMs(aWorkMs)
  , mSlots(aSlots)
  , mBorn(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count())
{
  mServer = std::make_unique<server>(aPort, [this](const auto& aConnection) { Serve(aConnection); });
  mStore.Put("servers", mId, Entry());
  mBeats = std::thread([this] { Beat(); });
}

worker::~worker()
{
  mIsStopped = true;
  mBeats.join();
  mServer.reset();
  SleepMs(20);
}

json::object worker::Entry() const
{
  return { { "service", mService }, { "address", "127.0.0.1:" + std::to_string(mServer->Port()) },
           { "zone", mZone },       { "version", "v1" },
           { "slots", mSlots },     { "state", mState },
           { "coldMs", 0 },         { "born", mBorn },
           { "seq", mSeq } };
}

void worker::Beat()
{
  double next = NowMs() + kBeatMs;
  while (!mIsStopped) {
    SleepMs(20);
    if (NowMs() < next) {
      continue;
    }
    next += kBeatMs;
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mIsListed) {
      ++mSeq;
      mStore.Put("servers", mId, Entry());
    }
  }
}

double worker::Drain()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mState = "draining";
  ++mSeq;
  mStore.Put("servers", mId, Entry());
  const double at = NowMs();
  Log("worker %s reports draining; the store has acknowledged it", mId.c_str());
  return at;
}

void worker::Leave()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mIsListed = false;
  mStore.Remove("servers", mId);
  Log("worker %s removes its entry", mId.c_str());
}

void worker::Exit(bool aReset)
{
  Log("worker %s exits", mId.c_str());
  mIsStopped = true;
  mServer->StopListening();
  mServer->CloseAll(aReset);
}

std::vector<worker::run> worker::Runs()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mRuns;
}

void worker::Serve(const std::shared_ptr<connection>& aConnection)
{
  while (!mIsStopped) {
    const auto request = aConnection->Read(15'000, false);
    if (!request || mIsStopped) {
      return;
    }
    const std::string id = request->Get("X-Attempt-Id");
    const std::string expected = request->Get("X-Expect-Instance");
    if (!expected.empty() && expected != mId) {
      Log("worker %s rejects %s with 421", mId.c_str(), id.c_str());
      aConnection->Write(Reply(421, "", { { "X-Instance-Id", mId }, { "X-Attempt-Id", id } }));
      continue;
    }
    if (mOnRequest && mOnRequest(*request, aConnection)) {
      continue;
    }
    std::size_t index = 0;
    std::string stamp;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      index = mRuns.size();
      mRuns.push_back({ NowMs(), -1, id, request->Target(), *request });
      stamp = mId + "." + std::to_string(++mStamps);
    }
    Log("worker %s runs %s %s %s", mId.c_str(), request->Method().c_str(), request->Target().c_str(), id.c_str());
    SleepMs(mWorkMs);
    if (mIsStopped) {
      return;
    }
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mRuns[index].mEndedMs = NowMs();
    }
    std::vector<std::pair<std::string, std::string>> headers{ { "X-Attempt-Id", id }, { "X-Response-Stamp", stamp } };
    aConnection->Write(Reply(200, "done " + id + " by " + mId, headers));
  }
}

gateway::gateway(const std::string& aFolder, std::string aNode, std::string aZone, int aStorePort, int)
  : mFolder(aFolder)
  , mNode(std::move(aNode))
  , mZone(std::move(aZone))
  , mStorePort(aStorePort)
  , mCallers(FreePort())
  , mReady(FreePort())
  , mPeers(FreePort())
{
  std::ofstream settings(mFolder + "/" + mNode + ".ini");
  settings << "[instance]\nid = " << mNode << "\nfailure_domain = " << mZone
           << "\n\n[platform]\naddress = 127.0.0.1:" << mStorePort
           << "\n\n[security]\ncluster_key = none\n\n[log]\nformat = json\n\n[gateway]\n"
           << "callers = 127.0.0.1:" << mCallers << "\nready = 127.0.0.1:" << mReady << "\npeers = 127.0.0.1:" << mPeers
           << "\nconfiguration_bound_ms = 2000\nkey_bound_ms = 5000\ndrain_bound_ms = 2000\nstop_grace_s = 8\n"
           << "retry_ratio = 0.2\nretry_slack = 202\nretry_window_s = 10\n";
}

gateway::~gateway()
{
  Kill();
}

void gateway::Start()
{
  const std::string settings = "CHERVILPULLEY_SETTINGS=" + mFolder + "/" + mNode + ".ini";
  const std::string log = mFolder + "/" + mNode + ".log";
  const int parent = ::getpid();
  mPid = ::fork();
  if (mPid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(2);
    }
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    const char* path = "target/chervilpulley";
    const char* arguments[] = { path, "gateway", nullptr };
    const char* environment[] = { settings.c_str(),
                                  "CHERVILPULLEY_MEMORY_MB=260",
                                  "CHERVILPULLEY_MAX_DESCRIPTORS=4100",
                                  "PATH=/usr/bin:/bin",
                                  "LANG=C",
                                  nullptr };
    ::execve(path, const_cast<char**>(arguments), const_cast<char**>(environment));
    ::_exit(2);
  }
  Log("gateway %s starts", mNode.c_str());
}

void gateway::Signal(int aSignal)
{
  Log("gateway %s gets signal %d", mNode.c_str(), aSignal);
  if (mPid > 0) {
    ::kill(mPid, aSignal);
  }
}

void gateway::Kill()
{
  if (mPid > 0) {
    ::kill(mPid, SIGKILL);
    ::waitpid(mPid, &mExitStatus, 0);
    mPid = -1;
  }
}

bool gateway::WaitEnd(double aTimeoutMs)
{
  const double until = NowMs() + aTimeoutMs;
  while (mPid > 0 && NowMs() < until) {
    if (::waitpid(mPid, &mExitStatus, WNOHANG) == mPid) {
      mPid = -1;
      Log("gateway %s has ended, status %d", mNode.c_str(), mExitStatus);
      return true;
    }
    SleepMs(10);
  }
  return mPid <= 0;
}

bool gateway::IsReady()
{
  const auto connection = connection::To(mReady);
  if (!connection ||
      !connection->Write("GET /chervilpulley/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")) {
    return false;
  }
  const auto response = connection->Read(1000, true);
  return response && response->Status() == 200;
}

bool gateway::WaitReady(double aTimeoutMs)
{
  const double until = NowMs() + aTimeoutMs;
  while (NowMs() < until) {
    if (IsReady()) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

int FreePort()
{
  static std::set<int> given;
  while (true) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), size) != 0) {
      ::close(fd);
      std::exit(2);
    }
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(fd);
    if (given.insert(ntohs(address.sin_port)).second) {
      return ntohs(address.sin_port);
    }
  }
}

std::string NewId()
{
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard<std::mutex> lock(mutex);
  char text[20];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

answer Ask(int aPort,
           const std::string& aMethod,
           const std::string& aTarget,
           const std::string& aHost,
           const std::string& aId,
           int aDeadlineMs,
           const std::string& aBody,
           const std::vector<std::pair<std::string, std::string>>& aHeaders,
           std::shared_ptr<connection> aConnection)
{
  answer result;
  if (!aConnection) {
    aConnection = connection::To(aPort);
  }
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + aHost + "\r\nX-Attempt-Id: " + aId +
                     "\r\nX-Deadline-Ms: " + std::to_string(aDeadlineMs) + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  if (aMethod != "GET") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  text += "\r\n" + aBody;
  result.mSentMs = NowMs();
  if (aConnection && aConnection->Write(text)) {
    if (const auto response = aConnection->Read(aDeadlineMs + 500, true)) {
      result.mIsComplete = true;
      result.mStatus = response->Status();
      result.mBody = response->mBody;
      result.mMessage = *response;
    }
  }
  result.mEndMs = NowMs();
  return result;
}

json::object Route(const std::string& aName,
                   const std::string& aPrefix,
                   const std::string& aKind,
                   const std::string& aService,
                   int aTimeoutMs,
                   int aObjectiveMs,
                   int aAttempts)
{
  return { { "name", aName },
           { "host", kHost },
           { "pathPrefix", aPrefix },
           { "kind", aKind },
           { "timeoutMs", aTimeoutMs },
           { "targetLatencyMs", aObjectiveMs },
           { "priority", 2 },
           { "trafficSplit", json::array{ json::object{ { "service", aService }, { "weight", 100 } } } },
           { "maxAttempts", aAttempts },
           { "anonymous", true },
           { "sticky", false },
           { "resumable", false } };
}

json::object Service(const std::string& aName, int aSlots)
{
  return { { "name", aName }, { "slots", aSlots }, { "maxConns", 110 }, { "healthPath", "/healthz" } };
}

json::object Configuration(std::uint64_t aVersion, const json::array& aRoutes, const json::array& aServices)
{
  return { { "version", aVersion },
           { "routes", aRoutes },
           { "services", aServices },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", 1048576 },
               { "headerTimeoutMs", 3000 },
               { "idleTimeoutMs", 15000 } } } };
}

bool IsCalm()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

std::string MakeFolder()
{
  char path[] = "/tmp/review-2-XXXXXX";
  if (::mkdtemp(path) == nullptr) {
    std::exit(2);
  }
  return path;
}

void RemoveFolder(const std::string& aFolder)
{
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(aFolder);
  }
}

} // namespace standin
