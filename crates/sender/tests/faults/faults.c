/*
 * Makes system calls of a real process fail on command. Preloaded into the daemon by tests only.
 *
 * The file named by FAULTS is mapped and shared with the test, which writes there which calls fail, how often and how.
 * Its layout is that of `Plan` in faults.rs. Without the variable nothing changes.
 */
#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { ACCEPT, SOCKET, CONNECT, WAIT, RECEIVE, SHORT, BREAK, FILE_WRITE, HALF_WRITE, BOOT_CLOCK, CALLS };
enum { ERRNOS = 16, DESCRIPTORS = 65536 };

struct rule {
    int32_t per_mille;
    int32_t errnos[ERRNOS];
    int32_t failed;
};

struct plan {
    int64_t wall_step_ms;
    struct rule rules[CALLS];
};

static struct plan *plan;
/* Descriptors of connections that this process opened. */
static uint8_t outbound[DESCRIPTORS];

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("FAULTS");
    int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0)
        return;
    void *at = mmap(NULL, sizeof(struct plan), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    plan = at == MAP_FAILED ? NULL : at;
}

static uint32_t draw(void) {
    static __thread uint64_t state;
    if (!state)
        state = 0x9e3779b97f4a7c15ull * (uint64_t)syscall(SYS_gettid);
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return (uint32_t)(state >> 32);
}

/* Whether this call is to fail; then with errno set. */
static int fails(int call) {
    if (!plan)
        return 0;
    struct rule *rule = &plan->rules[call];
    if (rule->per_mille <= 0 || (int32_t)(draw() % 1000) >= rule->per_mille)
        return 0;
    int count = 0;
    while (count < ERRNOS && rule->errnos[count])
        count++;
    __atomic_add_fetch(&rule->failed, 1, __ATOMIC_SEQ_CST);
    if (count)
        errno = rule->errnos[draw() % (uint32_t)count];
    return 1;
}

int clock_gettime(clockid_t clock, struct timespec *at) {
    if (clock == CLOCK_BOOTTIME && fails(BOOT_CLOCK))
        return -1;
    int done = (int)syscall(SYS_clock_gettime, clock, at);
    if (!done && plan && clock == CLOCK_REALTIME)
        at->tv_sec += plan->wall_step_ms / 1000;
    return done;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    return fails(ACCEPT) ? -1 : (int)syscall(SYS_accept4, fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    if (fails(SOCKET))
        return -1;
    int fd = (int)syscall(SYS_socket, domain, type, protocol);
    if (fd >= 0 && fd < DESCRIPTORS)
        outbound[fd] = 0;
    return fd;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    if (fails(CONNECT))
        return -1;
    if (fd >= 0 && fd < DESCRIPTORS)
        outbound[fd] = 1;
    return (int)syscall(SYS_connect, fd, address, length);
}

int close(int fd) {
    if (fd >= 0 && fd < DESCRIPTORS)
        outbound[fd] = 0;
    return (int)syscall(SYS_close, fd);
}

/* A connection to a server that breaks: the other side sees its end, this one an error. */
static int breaks(int fd) {
    if (fd < 0 || fd >= DESCRIPTORS || !outbound[fd] || !fails(BREAK))
        return 0;
    int error = errno;
    syscall(SYS_shutdown, fd, SHUT_RDWR);
    errno = error;
    return 1;
}

static size_t part(size_t length) {
    return length > 1 && fails(SHORT) ? 1 + draw() % (length - 1) : length;
}

ssize_t recvfrom(int fd, void *into, size_t length, int flags, struct sockaddr *from, socklen_t *size) {
    if (fails(RECEIVE) || breaks(fd))
        return -1;
    return syscall(SYS_recvfrom, fd, into, part(length), flags, from, size);
}

ssize_t recv(int fd, void *into, size_t length, int flags) {
    return recvfrom(fd, into, length, flags, NULL, NULL);
}

ssize_t send(int fd, const void *from, size_t length, int flags) {
    if (fails(RECEIVE) || breaks(fd))
        return -1;
    return syscall(SYS_sendto, fd, from, part(length), flags, NULL, 0);
}

int ppoll(struct pollfd *fds, nfds_t count, const struct timespec *within, const sigset_t *mask) {
    if (fails(WAIT))
        return -1;
    struct timespec left = within ? *within : (struct timespec){0};
    return (int)syscall(SYS_ppoll, fds, count, within ? &left : NULL, mask, 8);
}

int poll(struct pollfd *fds, nfds_t count, int millis) {
    struct timespec within = {millis / 1000, millis % 1000 * 1000000L};
    return ppoll(fds, count, millis < 0 ? NULL : &within, NULL);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int millis) {
    if (fails(WAIT))
        return -1;
    return (int)syscall(SYS_epoll_pwait, fd, events, most, millis, NULL, 8);
}

static int is_file(int fd) {
    struct stat of;
    return plan && (plan->rules[FILE_WRITE].per_mille > 0 || plan->rules[HALF_WRITE].per_mille > 0) && !fstat(fd, &of) &&
           S_ISREG(of.st_mode);
}

ssize_t write(int fd, const void *from, size_t length) {
    if (is_file(fd)) {
        if (fails(FILE_WRITE))
            return -1;
        if (length > 1 && fails(HALF_WRITE))
            length /= 2;
    }
    return syscall(SYS_write, fd, from, length);
}

int fdatasync(int fd) {
    return is_file(fd) && fails(FILE_WRITE) ? -1 : (int)syscall(SYS_fdatasync, fd);
}

int fsync(int fd) {
    return is_file(fd) && fails(FILE_WRITE) ? -1 : (int)syscall(SYS_fsync, fd);
}

int ftruncate64(int fd, off64_t length) {
    return is_file(fd) && fails(FILE_WRITE) ? -1 : (int)syscall(SYS_ftruncate, fd, length);
}
