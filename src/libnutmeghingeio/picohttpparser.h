#pragma once

#include <cstddef>
#include <sys/types.h>

/**
 * Declarations of the parts of picohttpparser that the HTTP client and the pipelined server use.
 * libh2o exports them but installs no header for them.
 */
extern "C" {

// NOLINTBEGIN(readability-identifier-naming): names of the library
struct phr_header {
    const char *name;
    size_t name_len;
    const char *value;
    size_t value_len;
};

/** Returns the size of the head in bytes, -1 if it is not a valid HTTP/1 request, -2 if it is incomplete. */
int phr_parse_request(const char *buf,
                      size_t len,
                      const char **method,
                      size_t *method_len,
                      const char **path,
                      size_t *path_len,
                      int *minor_version,
                      phr_header *headers,
                      size_t *num_headers,
                      size_t last_len);

/** Returns the size of the head in bytes, -1 if it is not a valid HTTP/1 answer, -2 if it is incomplete. */
int phr_parse_response(const char *buf,
                       size_t len,
                       int *minor_version,
                       int *status,
                       const char **msg,
                       size_t *msg_len,
                       phr_header *headers,
                       size_t *num_headers,
                       size_t last_len);

struct phr_chunked_decoder {
    size_t bytes_left_in_chunk;
    char consume_trailer;
    char _hex_count;
    char _state;
};

/** Decodes in place. Returns the number of bytes after the last chunk, -1 for invalid input, -2 if more bytes are needed. */
ssize_t phr_decode_chunked(phr_chunked_decoder *decoder, char *buf, size_t *bufsz);
// NOLINTEND(readability-identifier-naming)
}
