//! Capacity for large arrays that is returned to the system when they are dropped, and is not resident until
//! it is written.

/// Arrays of at least this many bytes get pages of their own.
const LARGE: usize = 128 << 10;

/// Common allocators always map requests of this size separately. The C library's allocator serves smaller
/// requests, up to 32 MiB, from its heap once a request of such a size was freed, and the heap then keeps
/// holes of that size.
const OWN_PAGES: usize = (32 << 20) + (64 << 10);

/// Reserves capacity for `more` items. A large array gets much more than it needs, but of address space only:
/// pages become resident once they are written.
pub fn reserve<T>(items: &mut Vec<T>, more: usize) {
    let needed = items.len() + more;
    if needed <= items.capacity() {
        return;
    }
    let wanted = needed.max(items.capacity() * 2);
    let large = wanted * size_of::<T>() >= LARGE;
    let wanted = if large { wanted.max(OWN_PAGES.div_ceil(size_of::<T>())) } else { wanted };
    items.reserve_exact(wanted - items.len());
}
