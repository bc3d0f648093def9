/* A library for LD_PRELOAD that makes system calls of a gateway process fail and offsets its wall clock.

   FAULTS: rules separated by commas, each `CALL:ERRNO:FIRST:LAST:EVERY`. Calls are numbered from 1; of the
   calls FIRST to LAST, every EVERY-th fails with this error number. Only calls on IPv4 sockets are counted,
   with three exceptions: `open` counts files whose names end with FAULTS_OPEN_SUFFIX, `epoll_wait` and `poll`
   count all calls, and `accept` counts calls only while a connection is pending.
   FAULTS_SWITCH_FILE: the rules apply only while this file exists.
   CLOCK_OFFSET_S: seconds added to CLOCK_REALTIME. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>
#define REAL(f) ((__typeof__(&f))dlsym(RTLD_NEXT, #f)) /* the function that this library replaces */
#define MAX_RULES 32

static struct rule { char call[16]; unsigned error, first, last, every, call_count; } rules[MAX_RULES];
static unsigned rule_count;

__attribute__((constructor)) static void read_rules(void) {
  const char *text = getenv("FAULTS");
  for (; text && *text && rule_count < MAX_RULES; text = strchr(text, ',') ? strchr(text, ',') + 1 : "") {
    struct rule *rule = &rules[rule_count];
    int fields = sscanf(text, "%15[^:]:%u:%u:%u:%u", rule->call, &rule->error, &rule->first, &rule->last,
                        &rule->every);
    if (fields == 5) rule_count++;
    else abort();
  }
}

/* Counts a call; returns 1 and sets errno if a rule makes it fail. */
static int fails(const char *call) {
  const char *switch_file = getenv("FAULTS_SWITCH_FILE");
  if (switch_file && access(switch_file, F_OK)) return 0;
  for (struct rule *rule = rules; rule < rules + rule_count; rule++)
    if (!strcmp(rule->call, call)) {
      unsigned number = ++rule->call_count;
      if (number >= rule->first && number <= rule->last && (number - rule->first) % rule->every == 0) {
        errno = (int)rule->error;
        return 1;
      }
    }
  return 0;
}

/* Whether this is an IPv4 socket; also 0 if there are no rules. Keeps errno. */
static int is_ipv4(int fd) {
  int domain = 0;
  socklen_t size = sizeof domain;
  int saved_errno = errno;
  int status = rule_count ? REAL(getsockopt)(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) : -1;
  errno = saved_errno;
  return status == 0 && domain == AF_INET;
}

int socket(int domain, int type, int protocol) {
  return domain == AF_INET && fails("socket") ? -1 : REAL(socket)(domain, type, protocol);
}
int bind(int fd, const struct sockaddr *a, socklen_t l) {
  return is_ipv4(fd) && fails("bind") ? -1 : REAL(bind)(fd, a, l);
}
int listen(int fd, int backlog) { return is_ipv4(fd) && fails("listen") ? -1 : REAL(listen)(fd, backlog); }
int connect(int fd, const struct sockaddr *a, socklen_t l) {
  return is_ipv4(fd) && fails("connect") ? -1 : REAL(connect)(fd, a, l);
}
int accept4(int fd, struct sockaddr *a, socklen_t *l, int flags) {
  struct pollfd p = {fd, POLLIN, 0};
  if (rule_count && REAL(poll)(&p, 1, 0) == 1 && fails("accept")) return -1;
  return REAL(accept4)(fd, a, l, flags);
}
int accept(int fd, struct sockaddr *a, socklen_t *l) { return accept4(fd, a, l, 0); }
int shutdown(int fd, int how) { return is_ipv4(fd) && fails("shutdown") ? -1 : REAL(shutdown)(fd, how); }
int setsockopt(int fd, int level, int name, const void *v, socklen_t l) {
  return is_ipv4(fd) && fails("setsockopt") ? -1 : REAL(setsockopt)(fd, level, name, v, l);
}
int getsockname(int fd, struct sockaddr *a, socklen_t *l) {
  return is_ipv4(fd) && fails("getsockname") ? -1 : REAL(getsockname)(fd, a, l);
}
ssize_t read(int fd, void *b, size_t n) { return is_ipv4(fd) && fails("read") ? -1 : REAL(read)(fd, b, n); }
ssize_t recv(int fd, void *b, size_t n, int f) {
  return is_ipv4(fd) && fails("read") ? -1 : REAL(recv)(fd, b, n, f);
}
ssize_t recvmsg(int fd, struct msghdr *m, int f) {
  return is_ipv4(fd) && fails("read") ? -1 : REAL(recvmsg)(fd, m, f);
}
ssize_t write(int fd, const void *b, size_t n) {
  return is_ipv4(fd) && fails("write") ? -1 : REAL(write)(fd, b, n);
}
ssize_t writev(int fd, const struct iovec *v, int n) {
  return is_ipv4(fd) && fails("write") ? -1 : REAL(writev)(fd, v, n);
}
ssize_t send(int fd, const void *b, size_t n, int f) {
  return is_ipv4(fd) && fails("write") ? -1 : REAL(send)(fd, b, n, f);
}
ssize_t sendmsg(int fd, const struct msghdr *m, int f) {
  return is_ipv4(fd) && fails("write") ? -1 : REAL(sendmsg)(fd, m, f);
}
/* Only EPOLL_CTL_ADD allocates memory and can fail for lack of it. */
int epoll_ctl(int e, int op, int fd, struct epoll_event *v) {
  return op == EPOLL_CTL_ADD && is_ipv4(fd) && fails("epoll_ctl") ? -1 : REAL(epoll_ctl)(e, op, fd, v);
}
int epoll_wait(int e, struct epoll_event *v, int n, int t) {
  return fails("epoll_wait") ? -1 : REAL(epoll_wait)(e, v, n, t);
}
int epoll_pwait(int e, struct epoll_event *v, int n, int t, const sigset_t *s) {
  return fails("epoll_wait") ? -1 : REAL(epoll_pwait)(e, v, n, t, s);
}
int poll(struct pollfd *p, nfds_t n, int t) { return fails("poll") ? -1 : REAL(poll)(p, n, t); }

static int has_faulty_suffix(const char *name) {
  const char *suffix = getenv("FAULTS_OPEN_SUFFIX");
  size_t name_length = strlen(name), suffix_length = suffix ? strlen(suffix) : name_length + 1;
  return suffix_length <= name_length && !strcmp(name + name_length - suffix_length, suffix);
}
int open(const char *name, int flags, ...) {
  va_list arguments;
  va_start(arguments, flags);
  mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  return has_faulty_suffix(name) && fails("open") ? -1 : REAL(open)(name, flags, mode);
}
int open64(const char *name, int flags, ...) {
  va_list arguments;
  va_start(arguments, flags);
  mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  return has_faulty_suffix(name) && fails("open") ? -1 : REAL(open64)(name, flags, mode);
}

static long clock_offset_s(void) {
  const char *seconds = getenv("CLOCK_OFFSET_S");
  return seconds ? atol(seconds) : 0;
}
int clock_gettime(clockid_t id, struct timespec *t) {
  int status = REAL(clock_gettime)(id, t);
  if (!status && id == CLOCK_REALTIME) t->tv_sec += clock_offset_s();
  return status;
}
