//! Room for large arrays that goes back to the system when they are dropped, and is not resident before it is written.

/// From so many bytes on an array gets pages of its own.
const LARGE: usize = 128 << 10;

/// Requests of this many bytes get pages of their own from the common allocators, always: the C library's takes
/// smaller ones, up to 32 MiB, from its heap once such a one was freed, and the heap then keeps holes of their size.
const OWN_PAGES: usize = (32 << 20) + (64 << 10);

/// Makes room for so many more items. A large array gets much more than it needs, of address space only: pages are
/// resident once they are written.
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
