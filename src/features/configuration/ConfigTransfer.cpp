#include "configuration/ConfigTransfer.h"

#include "configuration/ConfigStore.h"

#include <utility>

namespace rr {

ConfigAnnouncement makeAnnouncement(const ConfigStore &Store) {
  const ConfigCopy &Copy = Store.current();
  return {Copy.Version, Copy.Hash, Copy.Text ? Copy.Text->size() : 0};
}

Outcome<ConfigChunk> makeChunk(const ConfigFetch &Message,
                               const ConfigStore &Store) {
  const ConfigCopy &Copy = Store.current();
  if (!Copy.Text)
    return failure(Errc::NotFound);
  ConfigChunk Result;
  Result.Source = makeAnnouncement(Store);
  if (Message.Version == Copy.Version && Message.Offset <= Copy.Text->size())
    Result.Offset = Message.Offset;
  Result.Data = Copy.Text->substr(Result.Offset, ConfigChunk::MaxDataBytes);
  return Result;
}

std::optional<ConfigFetch>
ConfigTransfer::begin(const ConfigAnnouncement &Announcement,
                      const ConfigStore &Store) {
  if (Announcement.Version <= Store.version())
    return std::nullopt;
  this->Source = Announcement;
  this->Text.clear();
  return ConfigFetch{this->Source.Version, 0};
}

Outcome<std::optional<ConfigFetch>>
ConfigTransfer::processChunk(const ConfigChunk &Chunk, ConfigStore &Store) {
  if (Chunk.Source.Version != this->Source.Version ||
      Chunk.Source.Hash != this->Source.Hash) {
    if (Chunk.Source.Version <= this->Source.Version)
      return failure(Errc::Malformed);
    this->Source = Chunk.Source;
    this->Text.clear();
  }
  const bool Fits = this->Text.size() + Chunk.Data.size() <= this->Source.Size;
  if (Chunk.Offset != this->Text.size() || !Fits || Chunk.Data.empty())
    return failure(Errc::Malformed);
  this->Text += Chunk.Data;
  if (this->Text.size() < this->Source.Size)
    return std::optional<ConfigFetch>(
        ConfigFetch{this->Source.Version, this->Text.size()});
  const auto Adopted = Store.adopt(this->Source.Version, this->Source.Hash,
                                   std::exchange(this->Text, {}));
  if (!Adopted)
    return tl::unexpected<std::error_code>(Adopted.error());
  return std::optional<ConfigFetch>();
}

} // namespace rr
