/* Fuzz target for the decoder of messages between instances. The encoding of a
 * decoded message must decode again. */

#include <stdlib.h>

#include "fuzz.h"
#include "wire/msg.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
    mr_msg_decoded_t decoded;
    mr_msg_decoded_t redecoded;
    msgpack_sbuffer buf;

    if (mr_msg_decode(data, len, &decoded) != MR_MSG_VALID) {
        return 0;
    }
    msgpack_sbuffer_init(&buf);
    mr_msg_encode(&decoded.msg, &buf);
    if (mr_msg_decode(buf.data, buf.size, &redecoded) != MR_MSG_VALID) {
        abort();
    }
    mr_msg_release(&redecoded);
    msgpack_sbuffer_destroy(&buf);
    mr_msg_release(&decoded);
    return 0;
}
