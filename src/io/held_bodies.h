// Bounds the bytes of requests' bodies that a server holds or was told of.
//
//   auto bodies = std::make_shared<HeldBodies>(size_t{64} << 20);
//   HeldBody body(bodies);
//   if (!body.Resize(content_length)) {
//     // Refuse the request before its body is read.
//   }
#ifndef OLEANDER_IO_HELD_BODIES_H_
#define OLEANDER_IO_HELD_BODIES_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace oleander::io {

class HeldBodies {
 public:
  explicit HeldBodies(size_t limit) : limit_(limit) {}

  size_t bytes() const { return bytes_; }
  size_t limit() const { return limit_; }

 private:
  friend class HeldBody;

  // A body of more bytes than this may not use the part of the limit that is
  // kept for small ones.
  static constexpr size_t kMaxSmallBytes = size_t{128} << 10;
  static constexpr size_t kSmallPartDivisor = 4;

  // A single body always fits, so that no limit refuses a request forever.
  bool Fits(size_t others, size_t bytes) const {
    const size_t kept = bytes > kMaxSmallBytes ? limit_ / kSmallPartDivisor : 0;
    return others == 0 || others + bytes <= limit_ - kept;
  }

  size_t limit_;
  size_t bytes_ = 0;
};

// The share of one request, until it is destroyed.
class HeldBody {
 public:
  explicit HeldBody(std::shared_ptr<HeldBodies> all) : all_(std::move(all)) {}
  HeldBody(HeldBody&& other) noexcept
      : all_(std::move(other.all_)), bytes_(std::exchange(other.bytes_, 0)) {}
  HeldBody(const HeldBody&) = delete;
  HeldBody& operator=(const HeldBody&) = delete;
  HeldBody& operator=(HeldBody&&) = delete;
  ~HeldBody() {
    if (all_ != nullptr) {
      all_->bytes_ -= bytes_;
    }
  }

  // Returns false, without any change, if there is no room for more bytes.
  bool Resize(size_t bytes) {
    const size_t others = all_->bytes_ - bytes_;
    if (bytes > bytes_ && !all_->Fits(others, bytes)) {
      return false;
    }
    all_->bytes_ = others + bytes;
    bytes_ = bytes;
    return true;
  }

  // Returns the whole share and keeps none.
  HeldBody Take() { return {all_, std::exchange(bytes_, 0)}; }

 private:
  HeldBody(std::shared_ptr<HeldBodies> all, size_t bytes)
      : all_(std::move(all)), bytes_(bytes) {}

  std::shared_ptr<HeldBodies> all_;
  size_t bytes_ = 0;
};

}  // namespace oleander::io

#endif  // OLEANDER_IO_HELD_BODIES_H_
