/*
 * Makes system calls on TCP sockets of the process that preloads it fail or transfer little, as Linux documents for
 * them. AMBERHOIST_FAULTS names the kinds: short, eagain, eintr, accept, connect, socket; AMBERHOIST_FAULT_SEED seeds
 * each thread's random numbers.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#define REAL(name) ((__typeof__(&name)) dlsym(RTLD_NEXT, #name))
#define MAX_SHORT_BYTES 40
#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static unsigned threads;
static __thread unsigned state;

static unsigned next_random(void) {
  if (state == 0) {
    const char *seed = getenv("AMBERHOIST_FAULT_SEED");
    state = (seed ? (unsigned) atoi(seed) : 0) + 2654435761u * (__atomic_add_fetch(&threads, 1, __ATOMIC_RELAXED));
  }
  state = state * 1103515245u + 12345u;
  return state >> 16;
}

static int is_tcp(int fd) {
  int domain;
  socklen_t length = sizeof domain;
  int saved = errno;
  int found = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) == 0 && domain == AF_INET;
  errno = saved;
  return found;
}

/* Whether this call is to have a fault of this kind: one call of every "period". */
static int is_due(const char *kind, unsigned period) {
  const char *kinds = getenv("AMBERHOIST_FAULTS");
  return kinds && strstr(kinds, kind) && next_random() % period == 0;
}

static int fail_with(const int *errors, size_t count) {
  errno = errors[next_random() % count];
  return -1;
}

static size_t shortened(size_t length) {
  size_t most = length < MAX_SHORT_BYTES ? length : MAX_SHORT_BYTES;
  return length > 1 && is_due("short", 2) ? 1 + next_random() % most : length;
}

ssize_t read(int fd, void *buffer, size_t length) {
  if (is_tcp(fd)) {
    if (is_due("eintr", 50)) {
      errno = EINTR;
      return -1;
    }
    length = shortened(length);
  }
  return REAL(read)(fd, buffer, length);
}

ssize_t write(int fd, const void *buffer, size_t length) {
  if (is_tcp(fd)) {
    if (is_due("eintr", 50)) {
      errno = EINTR;
      return -1;
    }
    if (is_due("eagain", 20)) {
      errno = EAGAIN;
      return -1;
    }
    length = shortened(length);
  }
  return REAL(write)(fd, buffer, length);
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
  return is_tcp(fd) && count > 0 ? read(fd, parts[0].iov_base, parts[0].iov_len) : REAL(readv)(fd, parts, count);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
  return is_tcp(fd) && count > 0 ? write(fd, parts[0].iov_base, parts[0].iov_len) : REAL(writev)(fd, parts, count);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
  static const int errors[] = {EINTR, ECONNABORTED, ENFILE, ENOBUFS, EMFILE};
  return is_due("accept", 6) ? fail_with(errors, COUNT(errors)) : REAL(accept)(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
  static const int errors[] = {EINTR, ECONNABORTED, ENFILE, ENOBUFS, EMFILE};
  return is_due("accept", 6) ? fail_with(errors, COUNT(errors)) : REAL(accept4)(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
  static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN};
  return is_tcp(fd) && is_due("connect", 6) ? fail_with(errors, COUNT(errors)) : REAL(connect)(fd, address, length);
}

int socket(int domain, int type, int protocol) {
  static const int errors[] = {ENFILE, ENOBUFS, EMFILE, ENOMEM};
  return domain == AF_INET && is_due("socket", 8) ? fail_with(errors, COUNT(errors))
      : REAL(socket)(domain, type, protocol);
}
