#pragma once

#include <atomic>
#include <boost/intrusive_ptr.hpp>

namespace chervilpulley {

/// Base class with an intrusive, thread-safe reference count. The destructor is virtual, so that the last reference
/// deletes the derived object.
class ref_counted
{
public:
  ref_counted() = default;
  ref_counted(const ref_counted&) = delete;
  ref_counted& operator=(const ref_counted&) = delete;
  virtual ~ref_counted() = default;

private:
  friend void intrusive_ptr_add_ref(const ref_counted* aObject)
  {
    aObject->mCount.fetch_add(1, std::memory_order_relaxed);
  }
  friend void intrusive_ptr_release(const ref_counted* aObject)
  {
    if (aObject->mCount.fetch_sub(1, std::memory_order_acq_rel) == 1) {
      delete aObject;
    }
  }

  mutable std::atomic<unsigned> mCount{ 0 };
};

/// A counted reference to a ref_counted object.
template<class T>
using ref = boost::intrusive_ptr<T>;

/// Creates a counted object and returns the first reference to it.
template<class T, class... Args>
ref<T> MakeRef(Args&&... aArgs)
{
  return ref<T>(new T(std::forward<Args>(aArgs)...));
}

} // namespace chervilpulley
