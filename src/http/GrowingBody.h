#ifndef APRICOTTRACK_HTTP_GROWINGBODY_H
#define APRICOTTRACK_HTTP_GROWINGBODY_H

#include <algorithm>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace apricottrack {

/// A message body for Beast's parsers, received into a string. Takes memory as
/// bytes arrive, whatever length the sender has announced.
struct GrowingBody
{
  // Beast's parsers expect these names.
  // NOLINTBEGIN(readability-identifier-naming)
  using value_type = std::string;

  static std::uint64_t size(const value_type& aBody) { return aBody.size(); }

  class reader
  {
  public:
    template<bool kIsRequest, typename Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>&, value_type& aBody)
      : body(aBody)
    {
    }

    void init(const boost::optional<std::uint64_t>& aLength,
              boost::beast::error_code& aError)
    {
      aError = {};
      this->length = static_cast<std::size_t>(aLength.value_or(0));
      this->body.reserve(std::min(this->length, kFirstBytes));
    }

    template<typename ConstBufferSequence>
    std::size_t put(const ConstBufferSequence& aBuffers,
                    boost::beast::error_code& aError)
    {
      aError = {};
      const std::size_t added = boost::beast::buffer_bytes(aBuffers);
      this->Reserve(this->body.size() + added);
      for (const auto buffer : boost::beast::buffers_range_ref(aBuffers)) {
        this->body.append(static_cast<const char*>(buffer.data()),
                          buffer.size());
      }
      return added;
    }

    void finish(boost::beast::error_code& aError) { aError = {}; }

    // NOLINTEND(readability-identifier-naming)

  private:
    /// Maximum memory that is taken before the first byte.
    static constexpr std::size_t kFirstBytes = std::size_t{ 16 } * 1024;

    void Reserve(std::size_t aBytes)
    {
      if (aBytes <= this->body.capacity()) {
        return;
      }
      std::size_t capacity = std::max(aBytes, 2 * this->body.capacity());
      if (this->length > 0) {
        capacity = std::max(aBytes, std::min(capacity, this->length));
      }
      // Reserving in place would take at least twice the present capacity.
      std::string grown;
      grown.reserve(capacity);
      grown.append(this->body);
      this->body.swap(grown);
    }

    value_type& body;
    /// Announced length; zero without one.
    std::size_t length = 0;
  };
};

} // namespace apricottrack

#endif
