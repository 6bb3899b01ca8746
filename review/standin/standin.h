#pragma once

/// Stand-ins for the review: the platform's store, workers, clients and the start of a gateway. They follow PROTOCOL.md
/// and DEPLOY.md, use loopback addresses only, and need nothing but the C++ library and Boost.JSON.

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <strings.h>
#include <thread>
#include <vector>

namespace review {

namespace json = boost::json;

inline std::int64_t NowMs()
{
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count();
}

inline std::int64_t UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void SleepMs(int aTime)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aTime));
}

/// Writes what was sent, answered and run to record.txt.
class record_file
{
public:
  void Open(const std::string& aPath) { mFile.open(aPath, std::ios::trunc); }
  void Line(const std::string& aText)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", static_cast<double>(NowMs()) / 1000);
    mFile << time << aText << "\n" << std::flush;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

inline record_file& Record()
{
  static record_file sFile;
  return sFile;
}

struct message
{
  std::string mFirst; ///< the request line or the status line
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;

  std::string Get(const std::string& aName) const
  {
    for (const auto& [name, value] : mHeaders) {
      if (::strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  bool Has(const std::string& aName) const
  {
    for (const auto& [name, value] : mHeaders) {
      if (::strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return true;
      }
    }
    return false;
  }
  std::string Method() const { return mFirst.substr(0, mFirst.find(' ')); }
  std::string Target() const
  {
    const auto begin = mFirst.find(' ') + 1;
    return mFirst.substr(begin, mFirst.find(' ', begin) - begin);
  }
  int Status() const { return mFirst.size() < 12 ? 0 : std::atoi(mFirst.c_str() + 9); }
};

/// One TCP connection with a read buffer.
class connection
{
public:
  explicit connection(int aSocket)
    : mSocket(aSocket)
  {
    const int on = 1;
    ::setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection() { Close(); }

  bool IsOpen() const { return mSocket >= 0; }
  bool Write(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t size = ::send(mSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(size);
    }
    return true;
  }
  void Close()
  {
    if (mSocket >= 0) {
      ::close(mSocket);
      mSocket = -1;
    }
  }
  /// Closes with a reset, as a caller does that gives up at once.
  void Reset()
  {
    const linger now{ 1, 0 };
    ::setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    Close();
  }
  /// Reads more bytes; 1 for some, 0 at the end, -1 after a reset, -2 when aUntil has passed.
  int Fill(std::int64_t aUntil)
  {
    pollfd ready{ mSocket, POLLIN, 0 };
    const auto left = aUntil - NowMs();
    if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) <= 0) {
      return -2;
    }
    char buffer[65536];
    const ssize_t size = ::recv(mSocket, buffer, sizeof buffer, 0);
    if (size > 0) {
      mInput.append(buffer, static_cast<std::size_t>(size));
      return 1;
    }
    return size == 0 ? 0 : -1;
  }
  /// Reads a head; false at the end of the connection or when aUntil has passed.
  bool ReadHead(message& aMessage, std::int64_t aUntil)
  {
    while (mInput.find("\r\n\r\n") == std::string::npos) {
      if (Fill(aUntil) != 1) {
        return false;
      }
    }
    const auto end = mInput.find("\r\n\r\n");
    std::istringstream lines(mInput.substr(0, end + 2));
    mInput.erase(0, end + 4);
    std::string line;
    std::getline(lines, aMessage.mFirst);
    aMessage.mFirst.pop_back();
    aMessage.mHeaders.clear();
    aMessage.mBody.clear();
    while (std::getline(lines, line)) {
      line.pop_back();
      const auto colon = line.find(':');
      const auto value = line.find_first_not_of(' ', colon + 1);
      aMessage.mHeaders.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
    }
    return true;
  }
  bool ReadBytes(std::size_t aCount, std::string& aOut, std::int64_t aUntil)
  {
    while (mInput.size() < aCount) {
      if (Fill(aUntil) != 1) {
        aOut += mInput;
        mInput.clear();
        return false;
      }
    }
    aOut += mInput.substr(0, aCount);
    mInput.erase(0, aCount);
    return true;
  }
  /// Reads a body by its framing; false if it is not complete.
  bool ReadBody(message& aMessage, std::int64_t aUntil)
  {
    if (::strcasecmp(aMessage.Get("Transfer-Encoding").c_str(), "chunked") == 0) {
      while (true) {
        while (mInput.find("\r\n") == std::string::npos) {
          if (Fill(aUntil) != 1) {
            return false;
          }
        }
        const auto end = mInput.find("\r\n");
        const std::size_t size = std::strtoul(mInput.substr(0, end).c_str(), nullptr, 16);
        mInput.erase(0, end + 2);
        std::string chunk;
        if (!ReadBytes(size + 2, chunk, aUntil)) {
          aMessage.mBody += chunk;
          return false;
        }
        if (size == 0) {
          return true;
        }
        aMessage.mBody += chunk.substr(0, size);
      }
    }
    return ReadBytes(std::strtoul(aMessage.Get("Content-Length").c_str(), nullptr, 10), aMessage.mBody, aUntil);
  }
  bool ReadRequest(message& aMessage, std::int64_t aUntil)
  {
    return ReadHead(aMessage, aUntil) && ReadBody(aMessage, aUntil);
  }
  /// What is left unread.
  const std::string& Unread() const { return mInput; }
  int Socket() const { return mSocket; }

private:
  int mSocket;
  std::string mInput;
};

inline sockaddr_in Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int PortOf(int aSocket)
{
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// A port that is free for TCP and UDP now, below the ports that the system gives to connections: a gateway that starts
/// again needs the same one.
inline int FreePort()
{
  static int sNext = 20000 + static_cast<int>(::getpid()) * 37 % 8000;
  while (true) {
    sNext = sNext >= 31000 ? 20000 : sNext + 1;
    const int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(sNext);
    const bool isFree = ::bind(tcp, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
                        ::bind(udp, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(udp);
    ::close(tcp);
    if (isFree) {
      return sNext;
    }
  }
}

inline std::unique_ptr<connection> Connect(int aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(aPort);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(socket);
    return nullptr;
  }
  return std::make_unique<connection>(socket);
}

/// Accepts connections; each is served by a thread of its own. Lives until the program ends.
class listener
{
public:
  using serve = std::function<void(connection&)>;

  explicit listener(serve aServe)
    : mServe(std::move(aServe))
  {
    mSocket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(0);
    ::bind(mSocket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    ::listen(mSocket, 512);
    std::thread([this] {
      while (true) {
        const int accepted = ::accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
          return;
        }
        std::thread([this, accepted] {
          connection served(accepted);
          mServe(served);
        }).detach();
      }
    }).detach();
  }
  int Port() const { return PortOf(mSocket); }
  std::string Address() const { return "127.0.0.1:" + std::to_string(Port()); }

private:
  serve mServe;
  int mSocket;
};

inline std::string Reply(const std::string& aStatus, const std::string& aHeaders, const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aHeaders + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

/// The platform's store: objects by kind and name, one revision counter, watches.
class store
{
public:
  store()
    : mListener([this](connection& aConnection) { Serve(aConnection); })
  {
  }
  std::string Address() const { return mListener.Address(); }

  void Write(const std::string& aKind, const std::string& aName, json::value aSpec)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    Put(aKind, aName, std::move(aSpec));
  }

  void Remove(const std::string& aKind, const std::string& aName)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto found = mObjects[aKind].find(aName);
    if (found != mObjects[aKind].end()) {
      mChanges.push_back({ ++mRevision, aKind, ToJson(aName, found->second), true });
      mObjects[aKind].erase(found);
      mChanged.notify_all();
    }
  }

private:
  struct object
  {
    std::uint64_t mRevision = 0;
    std::uint64_t mCreated = 0;
    json::value mSpec;
  };
  struct change
  {
    std::uint64_t mRevision;
    std::string mKind;
    json::value mObject;
    bool mIsDeleted;
  };

  static json::value ToJson(const std::string& aName, const object& aObject)
  {
    return { { "metadata",
               { { "name", aName },
                 { "revision", aObject.mRevision },
                 { "createRev", aObject.mCreated },
                 { "finalizers", json::array() },
                 { "deleting", false } } },
             { "spec", aObject.mSpec },
             { "status", nullptr } };
  }
  void Put(const std::string& aKind, const std::string& aName, json::value aSpec)
  {
    object& entry = mObjects[aKind][aName];
    if (entry.mRevision != 0 && entry.mSpec == aSpec) {
      return;
    }
    entry.mRevision = ++mRevision;
    entry.mCreated = entry.mCreated == 0 ? mRevision : entry.mCreated;
    entry.mSpec = std::move(aSpec);
    mChanges.push_back({ mRevision, aKind, ToJson(aName, entry), false });
    mChanged.notify_all();
  }
  static std::string Query(const std::string& aTarget, const std::string& aName)
  {
    const auto at = aTarget.find(aName + "=", aTarget.find('?'));
    if (aTarget.find('?') == std::string::npos || at == std::string::npos) {
      return "";
    }
    const auto begin = at + aName.size() + 1;
    return aTarget.substr(begin, aTarget.find('&', begin) - begin);
  }
  static std::string JsonReply(const std::string& aStatus, const json::value& aBody)
  {
    return Reply(aStatus, "Content-Type: application/json\r\n", json::serialize(aBody));
  }
  void Serve(connection& aConnection)
  {
    message request;
    while (aConnection.ReadRequest(request, NowMs() + 120'000)) {
      if (!aConnection.Write(Handle(request))) {
        return;
      }
    }
  }
  std::string Handle(const message& aRequest)
  {
    const std::string prefix = "/chervilpulley/objects/";
    const std::string path = aRequest.Target().substr(0, aRequest.Target().find('?'));
    if (path.rfind(prefix, 0) != 0) {
      return Reply("400 Bad Request", "", "");
    }
    std::string kind = path.substr(prefix.size());
    std::string name;
    if (const auto slash = kind.find('/'); slash != std::string::npos) {
      name = kind.substr(slash + 1);
      kind.resize(slash);
    }
    std::unique_lock<std::mutex> lock(mMutex);
    if (aRequest.Method() == "GET" && name.empty()) {
      const std::string watch = Query(aRequest.Target(), "watch");
      return watch.empty() ? List(kind, Query(aRequest.Target(), "after"))
                           : Watch(lock, kind, std::stoull(watch), Query(aRequest.Target(), "waitMs"));
    }
    boost::json::error_code error;
    const json::value body = json::parse(aRequest.mBody.empty() ? "null" : aRequest.mBody, error);
    const json::object* fields = body.if_object();
    const json::object* metadata =
      fields != nullptr && fields->contains("metadata") ? fields->at("metadata").if_object() : nullptr;
    if (aRequest.Method() == "POST") {
      name = metadata == nullptr ? "" : std::string(metadata->at("name").as_string());
      if (mObjects[kind].contains(name)) {
        return JsonReply("409 Conflict", ToJson(name, mObjects[kind][name]));
      }
      Put(kind, name, fields->at("spec"));
      return JsonReply("200 OK", ToJson(name, mObjects[kind][name]));
    }
    const auto found = mObjects[kind].find(name);
    if (found == mObjects[kind].end()) {
      return Reply("404 Not Found", "", "");
    }
    if (aRequest.Method() == "GET") {
      return JsonReply("200 OK", ToJson(name, found->second));
    }
    std::uint64_t condition = 0;
    if (aRequest.Method() == "DELETE") {
      const std::string text = Query(aRequest.Target(), "revision");
      condition = text.empty() ? 0 : std::stoull(text);
    } else if (metadata != nullptr && metadata->contains("revision")) {
      condition = metadata->at("revision").to_number<std::uint64_t>();
    }
    if (condition != 0 && condition != found->second.mRevision) {
      return JsonReply("409 Conflict", ToJson(name, found->second));
    }
    if (aRequest.Method() == "DELETE") {
      mChanges.push_back({ ++mRevision, kind, ToJson(name, found->second), true });
      mObjects[kind].erase(found);
      mChanged.notify_all();
      return Reply("200 OK", "", "");
    }
    Put(kind, name, fields->at("spec"));
    return JsonReply("200 OK", ToJson(name, found->second));
  }
  std::string List(const std::string& aKind, const std::string& aAfter)
  {
    json::array items;
    for (const auto& [name, entry] : mObjects[aKind]) {
      if (name > aAfter) {
        items.push_back(ToJson(name, entry));
      }
    }
    return JsonReply("200 OK", { { "items", std::move(items) }, { "truncated", false }, { "currentRev", mRevision } });
  }
  std::string Watch(std::unique_lock<std::mutex>& aLock,
                    const std::string& aKind,
                    std::uint64_t aAfter,
                    const std::string& aWait)
  {
    const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(aWait.empty() ? 0 : std::stoul(aWait));
    while (true) {
      json::array events;
      for (const change& each : mChanges) {
        if (each.mRevision > aAfter && each.mKind == aKind) {
          events.push_back({ { "object", each.mObject }, { "deleted", each.mIsDeleted } });
        }
      }
      if (!events.empty() || std::chrono::steady_clock::now() >= until) {
        return JsonReply("200 OK", { { "events", std::move(events) }, { "currentRev", mRevision } });
      }
      mChanged.wait_until(aLock, until);
    }
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::uint64_t mRevision = 100;
  std::map<std::string, std::map<std::string, object>> mObjects;
  std::vector<change> mChanges;
  listener mListener; ///< last, as it serves at once
};

/// A worker, listed in the store. It answers orders, reports and health checks itself, and passes requests to aRun,
/// which writes the answer and returns whether the connection may serve another request.
class worker
{
public:
  using run = std::function<bool(connection&, const message&)>;

  worker(store& aStore, const std::string& aService, const std::string& aId, const std::string& aZone, run aRun)
    : mStore(aStore)
    , mService(aService)
    , mId(aId)
    , mZone(aZone)
    , mRun(std::move(aRun))
    , mBorn(UnixMs())
    , mListener([this](connection& aConnection) { Serve(aConnection); })
  {
    List();
  }
  const std::string& Id() const { return mId; }
  bool HoldsLayers() const { return mTo > 0; }

private:
  void List()
  {
    json::object spec{ { "service", mService },  { "address", mListener.Address() },
                       { "zone", mZone },        { "version", "v1" },
                       { "slots", 192 },         { "state", "ready" },
                       { "coldMs", 0 },          { "stage", "unified" },
                       { "kind", "big" },        { "born", mBorn },
                       { "seq", mOrders.load() } };
    if (mTo > 0) {
      spec["layers"] = { { "from", mFrom.load() }, { "target", mTo.load() }, { "version", 1 } };
    }
    mStore.Write("servers", mId, spec);
  }
  std::string Order(const message& aRequest)
  {
    boost::json::error_code error;
    const json::value body = json::parse(aRequest.mBody, error);
    const json::object* order = body.if_object();
    if (order == nullptr || !order->contains("op") || order->at("op") != "place") {
      return Reply("400 Bad Request", "", "");
    }
    if (order->contains("expect") && order->at("expect").to_number<int>() != mOrders) {
      return Reply("409 Conflict", "", "");
    }
    mFrom = order->at("from").to_number<int>();
    mTo = order->at("target").to_number<int>();
    ++mOrders;
    List();
    return Reply("202 Accepted", "", "");
  }
  void Serve(connection& aConnection)
  {
    message request;
    while (aConnection.ReadRequest(request, NowMs() + 120'000)) {
      const std::string target = request.Target();
      std::string reply;
      if (request.Has("X-Expect-Instance") && request.Get("X-Expect-Instance") != mId) {
        reply = Reply("421 Misdirected Request", "X-Not-Executed: 1\r\nX-Instance-Id: " + mId + "\r\n", "");
      } else if (target == "/chervilpulley/order") {
        reply = Order(request);
      } else if (target == "/chervilpulley/report") {
        json::object report{ { "stage", "unified" }, { "busy", false }, { "seq", mOrders.load() },
                             { "waiting", 0 },       { "running", 0 },  { "kvUsed", 0 },
                             { "kvTotal", 100000 },  { "pace", 1.0 },   { "born", mBorn } };
        if (mTo > 0) {
          report["layers"] = { { "from", mFrom.load() }, { "target", mTo.load() }, { "version", 1 } };
        }
        reply = Reply("200 OK", "Content-Type: application/json\r\n", json::serialize(report));
      } else if (target == "/healthz") {
        reply = Reply("200 OK", "X-Instance-Id: " + mId + "\r\n", "");
      } else {
        Record().Line("run      worker " + mId + " id " + request.Get("X-Attempt-Id") + " " + request.mFirst);
        if (!mRun(aConnection, request)) {
          return;
        }
        continue;
      }
      if (!aConnection.Write(reply)) {
        return;
      }
    }
  }

  store& mStore;
  std::string mService;
  std::string mId;
  std::string mZone;
  run mRun;
  std::int64_t mBorn;
  std::atomic<int> mOrders{ 0 };
  std::atomic<int> mFrom{ 0 };
  std::atomic<int> mTo{ 0 };
  listener mListener; ///< last, as it serves at once
};

/// A configuration with the figures of the site rota-hub: one service with plain requests, one with engines.
inline json::value Configuration()
{
  return json::parse(R"({"version":7,
    "routes":[
      {"name":"r-read","host":"demo.example","pathPrefix":"/read/","kind":"safe","timeoutMs":1000,
       "targetLatencyMs":100,"priority":2,"service":"app","maxAttempts":2,"anonymous":false},
      {"name":"r-book","host":"demo.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":1000,
       "targetLatencyMs":100,"priority":2,"service":"app","maxAttempts":1,"anonymous":false},
      {"name":"r-chat","host":"demo.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":20000,
       "targetLatencyMs":500,"priority":1,"service":"llm","maxAttempts":2,"anonymous":false,"sticky":true,
       "resumable":true,"gapTargetMs":200}],
    "services":[
      {"name":"app","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false},
      {"name":"llm","healthPath":"/healthz","maxConns":1078,"protocol":"h1","tls":false,
       "engine":{"slots":192,"kvCapacity":100000,"kvTokenBytes":459000,"linkMbps":480000.0,"stride":2,
         "models":[{"name":"m0","pace":1.0,"loadS":1.0,"warmS":1.0}],"step_ms":0.85,"per_seq_ms":0.00297,
         "context_per_k":0.00398,"read_per_s":252000.0,"pairs_per_m":0.129,"chunk":512,"report_lag_ms":200.0,
         "loads_at_once":6,"delays":[],"usual":{"prompt":772,"answer":154},"layers":8,"layerMb":1750.0,
         "activationBytes":22900,"pipeMbps":7900.0,
         "kinds":[{"name":"big","mb":72000.0,"pace":1.0,"readX":1.0}]}}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
    "tenants":[{"name":"tenant-a","apiKeys":["key-a"],"priority":1}]})");
}

/// One gateway, started with the command of deploy/system.toml and the template for its settings.
class gateway
{
public:
  gateway(const std::string& aName, const std::string& aZone, const std::string& aStore, const std::string& aFolder)
    : mName(aName)
    , mFront(FreePort())
    , mReady(FreePort())
  {
    std::ifstream file("platform/gateway.ini.template");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    const std::map<std::string, std::string> values{
      { "node", aName },
      { "zone", aZone },
      { "platform.address", aStore },
      { "listen.front", "127.0.0.1:" + std::to_string(mFront) },
      { "listen.ready", "127.0.0.1:" + std::to_string(mReady) },
      { "ip", "127.0.0.1" },
      { "internalPorts.0", std::to_string(FreePort()) },
      { "bounds.configApplyMs", "2000" },
      { "bounds.revokeMs", "5000" },
      { "bounds.drainMs", "2000" },
      { "bounds.graceS", "8" },
      { "bounds.retryBudgetRatio", "0.2" },
      { "bounds.budgetSlack", "202" },
      { "bounds.budgetWindowS", "10" },
    };
    for (const auto& [name, value] : values) {
      const std::string holder = "{{" + name + "}}";
      for (auto at = text.find(holder); at != std::string::npos; at = text.find(holder)) {
        text.replace(at, holder.size(), value);
      }
    }
    mSettings = aFolder + "/" + aName + ".ini";
    std::ofstream(mSettings) << text;
    mLog = aFolder + "/" + aName + ".log";
    Start();
  }
  /// Starts the process again after it has ended, as the platform does. Called by the main thread only, as the process
  /// ends with the thread that started it.
  void Start()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mHasEnded = false;
    mPid = ::fork();
    if (mPid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL); // if the case itself is ended, its gateways end as well
      const int out = ::open(mLog.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      const std::string variable = "CHERVILPULLEY_SETTINGS=" + mSettings;
      const char* arguments[] = { "target/chervilpulley", "gateway", nullptr };
      const char* environment[] = { "PATH=/usr/bin:/bin", "HOME=/", "LANG=C", variable.c_str(), nullptr };
      ::execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
      ::_exit(127);
    }
    Record().Line("start    gateway " + mName);
  }
  ~gateway()
  {
    if (!HasEnded()) {
      ::kill(mPid, SIGCONT);
      ::kill(mPid, SIGKILL);
      int status = 0;
      ::waitpid(mPid, &status, 0);
    }
  }
  /// Whether the process has ended; it is recorded once.
  bool HasEnded()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mHasEnded) {
      return true;
    }
    int status = 0;
    if (::waitpid(mPid, &status, WNOHANG) != mPid) {
      return false;
    }
    mHasEnded = true;
    std::ostringstream text;
    text << "END      gateway " << mName << " ended by itself, "
         << (WIFSIGNALED(status) ? std::string("signal ") + std::to_string(WTERMSIG(status)) : "exit");
    Record().Line(text.str());
    return true;
  }
  bool WaitReady(int aMs)
  {
    for (const auto until = NowMs() + aMs; NowMs() < until && !HasEnded(); SleepMs(20)) {
      auto probe = Connect(mReady);
      message reply;
      if (probe && probe->Write("GET /chervilpulley/readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
          probe->ReadRequest(reply, NowMs() + 1000) && reply.Status() == 200) {
        return true;
      }
    }
    return false;
  }
  const std::string& Name() const { return mName; }
  int Front() const { return mFront; }
  pid_t Pid() const { return mPid; }

private:
  std::mutex mMutex;
  std::string mName;
  std::string mSettings;
  std::string mLog;
  int mFront;
  int mReady;
  pid_t mPid = -1;
  bool mHasEnded = false;
};

inline std::string RequestText(const std::string& aMethod,
                               const std::string& aTarget,
                               const std::string& aId,
                               int aDeadlineMs,
                               const std::string& aMore = "",
                               const std::string& aBody = "")
{
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\nHost: demo.example\r\nX-Attempt-Id: " + aId +
                     "\r\nX-Deadline-Ms: " + std::to_string(aDeadlineMs) + "\r\nX-Credential: key-a\r\n" + aMore;
  if (aMethod != "GET") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

/// Ids of requests that a sound worker has run, or is running.
class id_set
{
public:
  void Add(const std::string& aId)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIds[aId] = true;
  }
  bool Has(const std::string& aId)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mIds.contains(aId);
  }

private:
  std::mutex mMutex;
  std::map<std::string, bool> mIds;
};

/// Callers that send safe requests one after the other on kept connections, and count what becomes of them.
class kept_callers
{
public:
  kept_callers(std::vector<std::unique_ptr<gateway>>& aGateways, id_set& aAtSound, int aPerGateway, std::int64_t aEnd)
  {
    for (int number = 0; number < static_cast<int>(aGateways.size()) * aPerGateway; ++number) {
      gateway* target = aGateways[number % aGateways.size()].get();
      mThreads.emplace_back([this, target, &aAtSound, number, aEnd] { Run(*target, aAtSound, number, aEnd); });
    }
  }
  void Join()
  {
    for (std::thread& each : mThreads) {
      each.join();
    }
  }
  std::atomic<int> mSent{ 0 };
  std::atomic<int> mServed{ 0 };
  std::atomic<int> mOtherwise{ 0 };
  std::atomic<int> mCut{ 0 }; ///< passed on to a sound worker, on a kept connection that closed without an answer

private:
  void Run(gateway& aTarget, id_set& aAtSound, int aNumber, std::int64_t aEnd)
  {
    std::unique_ptr<connection> kept;
    bool hasBeenUsed = false;
    for (int count = 0; NowMs() < aEnd; ++count, SleepMs(25)) {
      if (!kept) {
        kept = Connect(aTarget.Front());
        hasBeenUsed = false;
        if (!kept) {
          SleepMs(300);
          continue;
        }
      }
      const std::string id = "c" + std::to_string(aNumber) + "-" + std::to_string(count);
      Record().Line("send     to " + aTarget.Name() + " id " + id);
      message reply;
      const bool isSent = kept->Write(RequestText("GET", "/read/rota", id, 1000));
      const bool isComplete = isSent && kept->ReadRequest(reply, NowMs() + 1500);
      Record().Line("answer   id " + id + " " + (isComplete ? reply.mFirst : "none, the connection closed"));
      ++mSent;
      if (isComplete) {
        ++(reply.Status() == 200 ? mServed : mOtherwise);
        hasBeenUsed = true;
      } else {
        mCut += hasBeenUsed && aAtSound.Has(id) ? 1 : 0;
        kept.reset();
      }
    }
  }
  std::vector<std::thread> mThreads;
};

/// Starts gateways again that have ended by themselves, until aEnd; returns how often that happened.
inline int RestartUntil(std::vector<std::unique_ptr<gateway>>& aGateways, std::int64_t aEnd)
{
  int ends = 0;
  for (; NowMs() < aEnd; SleepMs(10)) {
    for (const auto& each : aGateways) {
      if (each->HasEnded()) {
        ++ends;
        SleepMs(300);
        each->Start();
      }
    }
  }
  return ends;
}

/// When a disruption is on: windows of 5 s, the length of the site's own, with pauses of 2 s.
class windows
{
public:
  /// The first window begins aDelayMs from now; there are aCount of them.
  void Begin(int aDelayMs, int aCount)
  {
    mCount = aCount;
    mBegin = NowMs() + aDelayMs;
  }
  bool IsOn() const
  {
    const std::int64_t time = NowMs() - mBegin;
    return time >= 0 && time / 7000 < mCount && time % 7000 < 5000;
  }

private:
  std::atomic<std::int64_t> mBegin{ std::int64_t{ 1 } << 60 };
  std::atomic<int> mCount{ 0 };
};

inline bool HasTrouble()
{
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

/// Arguments of each case: its folder and a temporary folder. The working folder is the repository's root.
inline void Begin(int aCount, char** aWords)
{
  if (aCount < 3) {
    std::cerr << "usage: case FOLDER TEMPORARY-FOLDER\n";
    std::exit(2);
  }
  ::signal(SIGPIPE, SIG_IGN);
  NowMs();
  Record().Open(std::string(aWords[1]) + "/record.txt");
}

/// Ends the program without the threads of the stand-ins; the gateways have been ended before.
[[noreturn]] inline void Finish(int aCode, const std::string& aVerdict)
{
  Record().Line("verdict  " + aVerdict);
  std::cout << aVerdict << std::endl;
  ::_exit(aCode);
}

} // namespace review
