#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

/// Strong types for names and numbers, so that the compiler rejects an id of one kind where another is expected.
namespace chervilpulley {

/// A name of one kind of object, given by Tag. An empty name is the invalid value.
template<class Tag>
class strong_name
{
public:
  strong_name() = default;
  explicit strong_name(std::string aValue)
    : mValue(std::move(aValue))
  {
  }
  const std::string& Str() const { return mValue; }
  bool IsValid() const { return !mValue.empty(); }
  auto operator<=>(const strong_name&) const =
    default; // NOLINT(modernize-use-nullptr): false positive of clang-tidy 14

private:
  std::string mValue;
};

/// An ordered number of one kind, given by Tag; Next() returns its successor.
template<class Tag>
class strong_number
{
public:
  constexpr strong_number() = default;
  constexpr explicit strong_number(std::uint64_t aValue)
    : mValue(aValue)
  {
  }
  constexpr std::uint64_t Value() const { return mValue; }
  constexpr strong_number Next() const { return strong_number(mValue + 1); }
  constexpr auto operator<=>(const strong_number&) const =
    default; // NOLINT(modernize-use-nullptr): false positive of clang-tidy 14

private:
  std::uint64_t mValue = 0;
};

template<class Tag>
std::ostream& operator<<(std::ostream& aOut, const strong_name<Tag>& aName)
{
  return aOut << aName.Str();
}

template<class Tag>
std::ostream& operator<<(std::ostream& aOut, const strong_number<Tag>& aNumber)
{
  return aOut << aNumber.Value();
}

/// An instance: one machine of the deployment, running one chervilpulley process.
using instance_id = strong_name<struct instance_tag>;
/// A failure domain: instances that fail together.
using failure_domain_id = strong_name<struct failure_domain_tag>;
/// A workspace: callers that share keys, weight and limits.
using workspace_id = strong_name<struct workspace_tag>;
/// A route of a workspace to a plain service.
using route_name = strong_name<struct route_tag>;
/// A model version.
using model_name = strong_name<struct model_tag>;
/// One run of a backend server; a restart gets a new id.
using backend_id = strong_name<struct backend_tag>;
/// A pool of backend servers.
using pool_name = strong_name<struct pool_tag>;
/// A caller's request; unique in the deployment.
using request_id = strong_name<struct request_tag>;
/// A change of the configuration; the id is chosen by the sender.
using change_id = strong_name<struct change_tag>;

/// Revision of the configuration; 0 is the empty configuration.
using revision_number = strong_number<struct revision_tag>;
/// Attempt of a request; the first one is 1.
using attempt_number = strong_number<struct attempt_tag>;
/// Position of a token in the output; the first one is 0.
using token_position = strong_number<struct position_tag>;
/// Layer of a model; the first one is 0.
using layer_index = strong_number<struct layer_tag>;

} // namespace chervilpulley

template<class Tag>
struct std::hash<chervilpulley::strong_name<Tag>>
{
  std::size_t operator()(const chervilpulley::strong_name<Tag>& aName) const noexcept
  {
    return std::hash<std::string>{}(aName.Str());
  }
};

template<class Tag>
struct std::hash<chervilpulley::strong_number<Tag>>
{
  std::size_t operator()(const chervilpulley::strong_number<Tag>& aNumber) const noexcept
  {
    return std::hash<std::uint64_t>{}(aNumber.Value());
  }
};
