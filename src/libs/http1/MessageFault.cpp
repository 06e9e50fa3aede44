#include "http1/MessageFault.h"

namespace rr {

const char *messageFaultName(MessageFault Fault) {
  switch (Fault) {
  case MessageFault::None:
    return "none";
  case MessageFault::StartLine:
    return "start_line";
  case MessageFault::Version:
    return "version";
  case MessageFault::StatusCode:
    return "status_code";
  case MessageFault::FieldName:
    return "field_name";
  case MessageFault::FieldValue:
    return "field_value";
  case MessageFault::LineEnd:
    return "line_end";
  case MessageFault::BodyLength:
    return "body_length";
  case MessageFault::TransferCoding:
    return "transfer_coding";
  case MessageFault::Chunk:
    return "chunk";
  case MessageFault::Upgrade:
    return "upgrade";
  case MessageFault::InterimResponses:
    return "interim_responses";
  case MessageFault::OtherRequest:
    return "other_request";
  case MessageFault::HeaderTooLarge:
    return "header_too_large";
  case MessageFault::BodyTooLarge:
    return "body_too_large";
  }
  return "unknown";
}

} // namespace rr
