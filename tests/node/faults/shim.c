/* Preloaded into a sender under test: has system calls fail as Linux documents. A file in $FAULT_FOLDER, named
 * after the call, holds the error number that it fails with for as long as the file is there. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define NEXT(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

/* The error number for the call, or 0. */
static int fault(const char *call) {
    const char *folder = getenv("FAULT_FOLDER");
    char path[512], text[16];
    if (folder == NULL) {
        return 0;
    }
    snprintf(path, sizeof path, "%s/%s", folder, call);
    int fd = syscall(SYS_openat, AT_FDCWD, path, O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        return 0;
    }
    ssize_t size = syscall(SYS_read, fd, text, sizeof text - 1);
    syscall(SYS_close, fd);
    text[size > 0 ? size : 0] = 0;
    return atoi(text);
}

static int is_file(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

static int fails(const char *call) {
    int why = fault(call);
    if (why != 0) {
        errno = why;
    }
    return why;
}

/* Alternates between an interrupted call and one that goes on. */
static int interrupted(void) {
    static __thread int turn;
    return fault("interrupt") != 0 && (turn = !turn) && (errno = EINTR);
}

/* Length of a transfer that may be cut short. */
static size_t cut(size_t length) {
    return fault("short") != 0 && length > 3 ? 3 : length;
}

ssize_t write(int fd, const void *bytes, size_t length) {
    if (is_file(fd)) {
        if (fault("half") != 0 && length > 1) {
            /* A part is written, then there is no space. */
            NEXT(write)(fd, bytes, length / 2);
            errno = ENOSPC;
            return -1;
        }
        if (fails("write")) {
            return -1;
        }
    }
    return NEXT(write)(fd, bytes, length);
}

int ftruncate64(int fd, off64_t length) {
    return fails("truncate") ? -1 : NEXT(ftruncate64)(fd, length);
}

int ftruncate(int fd, off_t length) {
    return fails("truncate") ? -1 : NEXT(ftruncate)(fd, length);
}

int fsync(int fd) {
    return fails("sync") ? -1 : NEXT(fsync)(fd);
}

int fdatasync(int fd) {
    return fails("sync") ? -1 : NEXT(fdatasync)(fd);
}

int rename(const char *from, const char *to) {
    return fails("rename") ? -1 : NEXT(rename)(from, to);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    return fails("accept") ? -1 : NEXT(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    return domain == AF_INET && fails("socket") ? -1 : NEXT(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    return address->sa_family == AF_INET && fails("connect") ? -1 : NEXT(connect)(fd, address, length);
}

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    if (interrupted()) {
        return -1;
    }
    return NEXT(recv)(fd, bytes, cut(length), flags);
}

ssize_t send(int fd, const void *bytes, size_t length, int flags) {
    if (interrupted()) {
        return -1;
    }
    return NEXT(send)(fd, bytes, cut(length), flags);
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    return interrupted() ? -1 : NEXT(readv)(fd, parts, count);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    return interrupted() ? -1 : NEXT(writev)(fd, parts, count);
}

/* The wall clock is stepped by the seconds in the file "step". */
int clock_gettime(clockid_t clock, struct timespec *now) {
    int done = NEXT(clock_gettime)(clock, now);
    if (done == 0 && clock == CLOCK_REALTIME) {
        now->tv_sec += fault("step");
    }
    return done;
}
