// Lists in messages between hosts. Each is written with a short count of its
// own: cereal's would let a stranger's message ask for any amount of memory.

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

// More than any message of a large site holds.
inline constexpr std::size_t kMostWireItems = 4096;

template <typename List, typename WriteItem>
void WriteList(WireWriter& writer, const List& list, WriteItem write_item) {
  const auto count =
      static_cast<std::uint16_t>(std::min(list.size(), kMostWireItems));
  writer(count);
  for (std::uint16_t i = 0; i < count; ++i) write_item(list[i]);
}

template <typename List, typename ReadItem>
void ReadList(WireReader& reader, List* list, ReadItem read_item) {
  std::uint16_t count = 0;
  reader(count);
  if (count > kMostWireItems) throw std::length_error("too many items");
  list->resize(count);
  for (auto& item : *list) read_item(item);
}

inline void WriteText(WireWriter& writer, const std::string& text) {
  const auto count =
      static_cast<std::uint16_t>(std::min(text.size(), kMostWireItems));
  writer(count);
  writer.saveBinary<1>(text.data(), count);
}

inline void ReadText(WireReader& reader, std::string* text) {
  std::uint16_t count = 0;
  reader(count);
  if (count > kMostWireItems) throw std::length_error("too long a text");
  text->resize(count);
  reader.loadBinary<1>(text->data(), count);
}

// A text of any length; the reader says how long it may be.
inline void WriteBytes(WireWriter& writer, const std::string& bytes) {
  writer(static_cast<std::uint32_t>(bytes.size()));
  writer.saveBinary<1>(bytes.data(),
                       static_cast<std::streamsize>(bytes.size()));
}

inline void ReadBytes(WireReader& reader, std::size_t most,
                      std::string* bytes) {
  std::uint32_t count = 0;
  reader(count);
  if (count > most) throw std::length_error("too long a text");
  bytes->resize(count);
  reader.loadBinary<1>(bytes->data(), count);
}

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_WIRE_LISTS_H_
