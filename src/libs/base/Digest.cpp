#include "base/Digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace rr {

namespace {

std::string toHex(const unsigned char *Data, unsigned int Size) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Result;
  Result.reserve(std::size_t{2} * Size);
  for (unsigned int I = 0; I < Size; ++I) {
    Result.push_back(Digits[Data[I] >> 4]);
    Result.push_back(Digits[Data[I] & 15]);
  }
  return Result;
}

} // namespace

std::string sha256Hex(std::string_view Data) {
  unsigned char Hash[EVP_MAX_MD_SIZE];
  unsigned int Size = 0;
  EVP_Digest(Data.data(), Data.size(), Hash, &Size, EVP_sha256(), nullptr);
  return toHex(Hash, Size);
}

std::string hmacSha256Hex(std::string_view Secret, std::string_view Data) {
  unsigned char Hash[EVP_MAX_MD_SIZE];
  unsigned int Size = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       reinterpret_cast<const unsigned char *>(Data.data()), Data.size(), Hash,
       &Size);
  return toHex(Hash, Size);
}

bool equalConstantTime(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  return CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

} // namespace rr
