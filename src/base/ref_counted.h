#pragma once

#include <atomic>
#include <boost/intrusive_ptr.hpp>

namespace chervilpulley {

/// Base of objects that are shared by an intrusive, thread-safe count. Derived classes have a virtual destructor.
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

/// A counted reference.
template<class T>
using ref = boost::intrusive_ptr<T>;

/// Makes a counted object.
template<class T, class... Args>
ref<T> MakeRef(Args&&... aArgs)
{
  return ref<T>(new T(std::forward<Args>(aArgs)...));
}

} // namespace chervilpulley
