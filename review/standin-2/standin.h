#pragma once

#include <boost/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

/// Stand-ins for the platform's store, workers, clients and the process environment of a gateway, for the cases of
/// this review. They speak HTTP/1.1 on loopback addresses as PROTOCOL.md describes it. Each connection has a thread.
namespace standin {

/// Milliseconds since the start of the case.
double NowMs();
void SleepMs(double aMs);
void SleepUntilMs(double aMs);

/// Writes record.txt: one line for each thing that was sent, answered or run.
class record
{
public:
  explicit record(const std::string& aPath);
  void Line(const std::string& aText);

private:
  std::mutex mMutex;
  std::ofstream mFile;
};
extern std::unique_ptr<record> gRecord;
void Log(const char* aFormat, ...) __attribute__((format(printf, 1, 2)));

struct message
{
  std::string mStart; ///< request or status line
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  std::string Get(const std::string& aName) const;
  std::string Method() const;
  std::string Target() const;
  int Status() const;
};

/// A blocking connection.
class connection
{
public:
  explicit connection(int aFd)
    : mFd(aFd)
  {
  }
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  /// Connects to 127.0.0.1; null if that fails.
  static std::shared_ptr<connection> To(int aPort);
  bool Write(const std::string& aBytes);
  /// Reads some bytes; false at the end, on an error or after aTimeoutMs.
  bool ReadMore(double aTimeoutMs);
  /// Reads a message with a length, in chunks, or up to the end of the connection. @param aIsHead no body follows.
  std::optional<message> Read(double aTimeoutMs, bool aIsResponse);
  /// Ends the connection with FIN, or with RST.
  void Shut(bool aReset);
  std::string mInput;
  std::atomic<bool> mIsSilent{ false }; ///< nothing that arrives is answered any more
  std::atomic<bool> mWasEnded{ false }; ///< the peer closed or reset it
  int mFd;
  int mPort = 0; ///< local port of the side that accepted
};

/// Accepts connections on a loopback port and runs the handler for each in a thread.
class server
{
public:
  using handler = std::function<void(std::shared_ptr<connection>)>;
  server(int aPort, handler aHandler);
  ~server();
  int Port() const { return mPort; }
  void StopListening();
  /// Ends all connections, with RST if aReset.
  void CloseAll(bool aReset);
  /// Makes all present connections silent; new ones work.
  void SilenceAll();
  std::size_t Open();

private:
  void Accept();
  handler mHandler;
  int mListener = -1;
  int mPort = 0;
  std::atomic<bool> mIsStopped{ false };
  std::mutex mMutex;
  std::vector<std::weak_ptr<connection>> mConnections;
  std::thread mThread;
};

std::string Reply(int aStatus,
                  const std::string& aBody,
                  const std::vector<std::pair<std::string, std::string>>& aHeaders = {});

/// The platform's store, form `objects`.
class store
{
public:
  explicit store(int aPort = 0);
  ~store();
  int Port() const { return mServer->Port(); }
  /// Writes an object as the operator or a worker does; returns the revision, which acknowledges it.
  std::uint64_t Put(const std::string& aKind, const std::string& aName, const boost::json::value& aSpec);
  void Remove(const std::string& aKind, const std::string& aName);
  void SilenceAll();
  /// Called for each call from outside with its method, target and body, before it is executed. Returns the time by
  /// which the answer is held back; a negative number loses the answer.
  std::function<double(const std::string&, const std::string&)> mOnCall;
  /// Spec of an object; null if it is missing.
  boost::json::value Spec(const std::string& aKind, const std::string& aName);

private:
  struct object
  {
    boost::json::value mSpec;
    std::uint64_t mRevision = 0;
    std::uint64_t mCreated = 0;
  };
  struct event
  {
    std::string mKind;
    std::uint64_t mRevision = 0;
    std::string mText;
  };
  void Serve(const std::shared_ptr<connection>& aConnection);
  std::string Execute(const message& aRequest, const std::shared_ptr<connection>& aConnection);
  static std::string Text(const std::string& aName, const object& aObject);
  void Note(const std::string& aKind, const std::string& aName, const object& aObject, bool aDeleted);

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::uint64_t mRevision = 100;
  bool mIsStopped = false;
  std::map<std::string, std::map<std::string, object>> mObjects;
  std::vector<event> mEvents;
  std::unique_ptr<server> mServer;
};

/// A worker of a plain service: registers itself, renews its entry, runs requests for some time each.
class worker
{
public:
  worker(store& aStore,
         std::string aService,
         std::string aId,
         std::string aZone,
         double aWorkMs,
         int aSlots = 6,
         int aPort = 0);
  ~worker();
  int Port() const { return mServer->Port(); }
  const std::string& Id() const { return mId; }
  /// Reports `draining`; returns the time of the store's acknowledgement.
  double Drain();
  /// Removes its entry, as it does when it has left.
  void Leave();
  /// Stops: no more listening, and all connections end, with RST if aReset.
  void Exit(bool aReset = false);
  struct run
  {
    double mAtMs = 0;
    double mEndedMs = -1;
    std::string mId;
    std::string mTarget;
    message mRequest;
  };
  std::vector<run> Runs();
  /// Answers one request instead of the standard one; returns false to fall through to it.
  std::function<bool(const message&, const std::shared_ptr<connection>&)> mOnRequest;

private:
  void Serve(const std::shared_ptr<connection>& aConnection);
  void Beat();
  boost::json::object Entry() const;

  store& mStore;
  std::string mService;
  std::string mId;
  std::string mZone;
  double mWorkMs;
  int mSlots;
  std::int64_t mBorn;
  std::mutex mMutex;
  std::string mState = "ready";
  std::uint64_t mSeq = 0;
  std::uint64_t mStamps = 0;
  bool mIsListed = true;
  std::vector<run> mRuns;
  std::atomic<bool> mIsStopped{ false };
  std::unique_ptr<server> mServer;
  std::thread mBeats;
};

/// A gateway as a process of its own, started with the command of the deploy file.
class gateway
{
public:
  gateway(const std::string& aFolder, std::string aNode, std::string aZone, int aStorePort, int aIndex);
  ~gateway();
  void Start();
  void Signal(int aSignal);
  /// Ends it with SIGKILL and waits.
  void Kill();
  /// Waits for its end; false after aTimeoutMs.
  bool WaitEnd(double aTimeoutMs);
  bool IsReady();
  bool WaitReady(double aTimeoutMs);
  int Port() const { return mCallers; }
  int mPid = -1;
  int mExitStatus = 0;

private:
  std::string mFolder;
  std::string mNode;
  std::string mZone;
  int mStorePort;
  int mCallers;
  int mReady;
  int mPeers;
};

/// A port that is free now.
int FreePort();
std::string NewId();

struct answer
{
  bool mIsComplete = false; ///< a whole response arrived
  int mStatus = 0;
  std::string mBody;
  message mMessage;
  double mSentMs = 0;
  double mEndMs = 0;
};
/// Sends one request on a new connection, or on aConnection, and waits for the response.
answer Ask(int aPort,
           const std::string& aMethod,
           const std::string& aTarget,
           const std::string& aHost,
           const std::string& aId,
           int aDeadlineMs,
           const std::string& aBody = "",
           const std::vector<std::pair<std::string, std::string>>& aHeaders = {},
           std::shared_ptr<connection> aConnection = nullptr);

boost::json::object Route(const std::string& aName,
                          const std::string& aPrefix,
                          const std::string& aKind,
                          const std::string& aService,
                          int aTimeoutMs,
                          int aObjectiveMs,
                          int aAttempts);
boost::json::object Configuration(std::uint64_t aVersion,
                                  const boost::json::array& aRoutes,
                                  const boost::json::array& aServices);
boost::json::object Service(const std::string& aName, int aSlots);
inline constexpr const char* kHost = "ficu95.example";

/// Whether TROUBLE=0 asks for the same without the disruption.
bool IsCalm();
/// Folder for settings and logs of the case's processes; removed at the end unless KEEP=1.
std::string MakeFolder();
void RemoveFolder(const std::string& aFolder);

} // namespace standin
