// Encoding of lists and strings in messages between hosts.
//
// Each is written with its own bounded count. With cereal's count, a foreign
// message could make the reader allocate any amount of memory.

#ifndef GENTIANLB_GATEWAY_WIRE_LISTS_H_
#define GENTIANLB_GATEWAY_WIRE_LISTS_H_

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cstddef>
#include <cstdint>
#include <ios>
#include <stdexcept>
#include <string>

namespace gentianlb::gateway {

using WireWriter = cereal::PortableBinaryOutputArchive;
using WireReader = cereal::PortableBinaryInputArchive;

// Maximum items of a list and bytes of a short string; more than any message
// of a large site needs. Longer ones are truncated when written.
inline constexpr std::size_t kMaxWireItems = 4096;

template <typename List, typename WriteItem>
void WriteList(WireWriter& writer, const List& list, WriteItem write_item) {
  const auto count =
      static_cast<std::uint16_t>(std::min(list.size(), kMaxWireItems));
  writer(count);
  for (std::uint16_t i = 0; i < count; ++i) write_item(list[i]);
}

template <typename List, typename ReadItem>
void ReadList(WireReader& reader, List* list, ReadItem read_item) {
  std::uint16_t count = 0;
  reader(count);
  if (count > kMaxWireItems) throw std::length_error("too many items");
  list->resize(count);
  for (auto& item : *list) read_item(item);
}

inline void WriteText(WireWriter& writer, const std::string& text) {
  const auto count =
      static_cast<std::uint16_t>(std::min(text.size(), kMaxWireItems));
  writer(count);
  writer.saveBinary<1>(text.data(), count);
}

inline void ReadText(WireReader& reader, std::string* text) {
  std::uint16_t count = 0;
  reader(count);
  if (count > kMaxWireItems) throw std::length_error("text too long");
  text->resize(count);
  reader.loadBinary<1>(text->data(), count);
}

// Writes a string of any length; the reader limits the length.
inline void WriteBytes(WireWriter& writer, const std::string& bytes) {
  writer(static_cast<std::uint32_t>(bytes.size()));
  writer.saveBinary<1>(bytes.data(),
                       static_cast<std::streamsize>(bytes.size()));
}

inline void ReadBytes(WireReader& reader, std::size_t max_bytes,
                      std::string* bytes) {
  std::uint32_t count = 0;
  reader(count);
  if (count > max_bytes) throw std::length_error("too many bytes");
  bytes->resize(count);
  reader.loadBinary<1>(bytes->data(), count);
}

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_WIRE_LISTS_H_
