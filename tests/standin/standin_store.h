#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "net/http_server.h"
#include "signal.h"

/// Stands in for the object store of the users' platform, with faults that test how gateways cope without it.
namespace chervilpulley::standin {

/// The store over HTTP as the users' platform has it: objects by kind, revisions, conditional writes and watches.
class object_store
{
public:
  /// Whether a request target belongs to the store.
  static bool IsCall(std::string_view aTarget);
  boost::asio::awaitable<void> Handle(net::http_exchange& aExchange);

  /// Writes an object unconditionally, as operators and backend servers do.
  void Write(const std::string& aKind, const std::string& aName, boost::json::value aSpec);
  /// Writes an object whose spec is this text in all responses, valid JSON or not.
  void WriteRaw(const std::string& aKind, const std::string& aName, const std::string& aSpec);
  void Remove(const std::string& aKind, const std::string& aName);
  /// Sets the faults of a control call: "down" (responds with 503), "silent" (never responds), "lose_answers" (number
  /// of responses to writes that are dropped), "forget" (discards the history that watches read), "copy" (takes a copy)
  /// and "restore" (returns to that copy and begins a new era).
  void SetFaults(const boost::json::object& aFaults);
  std::uint64_t Revision() const { return mRevision; }

private:
  struct stored_object
  {
    std::uint64_t mRevision = 0;
    std::uint64_t mCreateRevision = 0;
    boost::json::value mSpec;
  };
  struct change
  {
    std::uint64_t mRevision = 0;
    std::string mKind;
    boost::json::object mObject;
    bool mIsDeleted = false;
  };
  using kind_objects = std::map<std::string, stored_object>;
  /// What a copy holds. Watches from other revisions than its own get 410.
  struct contents
  {
    std::map<std::string, kind_objects> mObjects;
    std::uint64_t mRevision = 100;
  };

  boost::asio::awaitable<net::http_reply> HandleRequest(const net::http_request& aRequest);
  boost::asio::awaitable<net::http_reply> Watch(const std::string& aKind, const net::http_request& aRequest);
  net::http_reply List(const std::string& aKind, const net::http_request& aRequest);
  net::http_reply Put(const std::string& aKind, const std::string& aName, const net::http_request& aRequest);
  net::http_reply Delete(const std::string& aKind, const std::string& aName, const net::http_request& aRequest);
  net::http_reply Create(const std::string& aKind, const net::http_request& aRequest);
  boost::json::object ToJson(const std::string& aName, const stored_object& aObject) const;

  /// Replaces the placeholders of raw specs by their texts.
  void InsertRawSpecs(std::string& aBody) const;

  std::map<std::string, std::string> mRawSpecs; ///< by the placeholder that stands for each
  void Restore();

  std::map<std::string, kind_objects> mObjects;
  std::deque<change> mChanges;
  std::uint64_t mRevision = 100;
  std::uint64_t mEra = 1;
  contents mCopy;
  std::uint64_t mCompactedRevision = 100; ///< changes up to this revision are discarded; a watch from before gets 410
  bool mIsDown = false;
  bool mIsUnresponsive = false;
  std::uint64_t mResponsesToDrop = 0;
  signal mChanged;
};

} // namespace chervilpulley::standin
